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

// standardInput is the name of a log that is read from standard input.
const standardInput = "-"

func (commander *Commander) timeLine(application *kingpin.Application) command {
	clause := application.Command("timeline", "Show the events of all processes in one order, from live entries or from log files.")
	entry := entryFlag(clause)
	output := outputFlag(clause)
	limit := clause.Flag("limit", "Most events, newest first to stay.").Default("200").Int()
	logs := clause.Flag("log", "Log file of a process, or - for standard input; may be repeated. No entry is asked then.").Strings()
	question := historian.Question{}
	clause.Flag("request", "Only this request.").StringVar(&question.RequestID)
	clause.Flag("job", "Only this job.").StringVar(&question.JobID)
	clause.Flag("server", "Only this backend server, from log files.").StringVar(&question.BackendServer)
	clause.Flag("around", "From log files: also what the processes came to believe so long before and after.").Default("0s").DurationVar(&question.Around)

	return command{clause: clause, run: func(ctx context.Context) error {
		if len(*logs) > 0 {
			return commander.tellLogs(*logs, question, *output, *limit)
		}

		query := url.Values{"request": {question.RequestID}, "job": {question.JobID}, "limit": {fmt.Sprint(*limit)}}

		text, err := client{entry: *entry}.get(ctx, "/v1/timeline?"+query.Encode())
		if err != nil {
			return errors.Trace(err)
		}

		return commander.print(*output, text, func(out io.Writer) error { return printTimeLine(out, text) })
	}}
}

// tellLogs answers a question from log files.
func (commander *Commander) tellLogs(paths []string, question historian.Question, output string, limit int) error {
	if question.RequestID+question.JobID+question.BackendServer == "" {
		return errors.NotValidf("question: give --request, --job or --server beside --log; nothing")
	}

	reader := historian.NewHistorian()

	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return errors.Trace(err)
		}
	}

	told := reader.Tell(question)
	if len(told) == 0 {
		return errors.NotFoundf("line that answers this (%d lines of another form were passed over)", reader.Unread())
	}

	told = told[max(0, len(told)-limit):]

	if output == outputJSON {
		return errors.Trace(json.NewEncoder(commander.Out).Encode(told))
	}

	table := tabwriter.NewWriter(commander.Out, 0, 0, 2, ' ', 0)
	for _, line := range told {
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
