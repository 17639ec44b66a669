package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/historian"
	"limpetrail/observer"
)

// standardInput as a log file's name stands for standard input.
const standardInput = "-"

func (commander *Commander) timeLine(application *kingpin.Application) command {
	clause := application.Command("timeline", "Show the events of all processes in order of time, from running entries or from log files.")
	entry := entryFlag(clause)
	output := outputFlag(clause)
	limit := clause.Flag("limit", "Maximum number of events; the newest are shown.").Default("200").Int()
	logs := clause.Flag("log", "Log file of a process, or - for standard input; may be repeated. No entry is called then.").Strings()
	query := historian.Query{}
	clause.Flag("request", "Show only this request.").StringVar(&query.RequestID)
	clause.Flag("job", "Show only this job.").StringVar(&query.JobID)
	clause.Flag("server", "Show only this backend server; only with --log.").StringVar(&query.BackendServer)
	clause.Flag("around", "Also show the processes' changes of state within this time before and after; only with --log.").Default("0s").DurationVar(&query.Margin)

	return command{clause: clause, run: func(ctx context.Context) error {
		if len(*logs) > 0 {
			return commander.printLogLines(*logs, query, *output, *limit)
		}

		parameters := url.Values{"request": {query.RequestID}, "job": {query.JobID}, "limit": {fmt.Sprint(*limit)}}

		text, err := client{entry: *entry}.get(ctx, "/v1/timeline?"+parameters.Encode())
		if err != nil {
			return errors.Trace(err)
		}

		return commander.print(*output, text, func(out io.Writer) error { return printTimeLine(out, text) })
	}}
}

// printLogLines prints the lines of log files that match the query.
func (commander *Commander) printLogLines(paths []string, query historian.Query, output string, limit int) error {
	if query.RequestID+query.JobID+query.BackendServer == "" {
		return errors.NotValidf("--log without --request, --job or --server")
	}

	reader := historian.NewHistorian()

	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return errors.Trace(err)
		}
	}

	matching := reader.Find(query)
	if len(matching) == 0 {
		return errors.NotFoundf("matching log line (%d lines in another format were skipped)", reader.SkippedLines())
	}

	matching = matching[max(0, len(matching)-limit):]

	if output == outputJSON {
		return errors.Trace(json.NewEncoder(commander.Out).Encode(matching))
	}

	table := tabwriter.NewWriter(commander.Out, 0, 0, 2, ' ', 0)
	for _, line := range matching {
		fmt.Fprintf(table, "%s\t%s\n", line.Instance, line.Text)
	}

	return errors.Trace(table.Flush())
}

func readLog(reader *historian.Historian, path string) error {
	if path == standardInput {
		return reader.Read(standardInput, os.Stdin)
	}

	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.Annotate(err, "opening a log")
	}
	defer file.Close()

	return reader.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
}

func printTimeLine(out io.Writer, text []byte) error {
	answer := observer.TimeLine{}
	if err := json.Unmarshal(text, &answer); err != nil {
		return errors.Trace(err)
	}

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, event := range answer.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n",
			event.Stamp.Time().Format(time.RFC3339Nano), event.Instance, event.Part, event.Kind,
			event.RequestID+event.JobID, strings.Join(event.Details, " "))
	}

	if len(answer.Missing) > 0 {
		fmt.Fprintln(table, "no answer from", strings.Join(answer.Missing, ", "))
	}

	return errors.Trace(table.Flush())
}
