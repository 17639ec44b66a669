package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// jobPollInterval is how often job watch reads the job's status.
const jobPollInterval = 2 * time.Second

// jobCommands returns the functions that add the commands for batch jobs.
func jobCommands() []func(*Commander, *kingpin.Application) command {
	return []func(*Commander, *kingpin.Application) command{
		(*Commander).jobSubmit,
		(*Commander).jobShow,
		(*Commander).jobList,
		(*Commander).jobResults,
		(*Commander).jobCancel,
		(*Commander).jobWatch,
	}
}

// jobFlags are the flags that all commands for batch jobs share.
type jobFlags struct {
	client *jobClient
	output *string
}

// addJobCommand adds a subcommand of job with the shared flags.
func (commander *Commander) addJobCommand(application *kingpin.Application, name, help string) (*kingpin.CmdClause, jobFlags) {
	parent := application.GetCommand("job")
	if parent == nil {
		parent = application.Command("job", "Submit and follow batch jobs.")
	}

	clause := parent.Command(name, help)
	client := &jobClient{}
	clause.Flag("entry", "Host and port of an entry.").Default("127.0.0.1:8080").StringVar(&client.address)
	clause.Flag("workspace", "Workspace that the job belongs to.").Required().StringVar(&client.workspace)
	output := clause.Flag("output", "Form of the answer: text or json.").Default("text").Enum("text", "json")

	return clause, jobFlags{client: client, output: output}
}

func (commander *Commander) jobSubmit(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "submit", "Submit a file of items, one JSON object a line.")
	path := clause.Arg("file", "File of items.").Required().ExistingFile()
	window := clause.Flag("due", "Time from now until the job is due.").Default("24h").Duration()
	key := clause.Flag("key", "Idempotency key: resubmitting with the same key returns the same job.").String()

	return command{clause: clause, run: func(ctx context.Context) error {
		file, err := os.Open(*path)
		if err != nil {
			return errors.Trace(err)
		}
		defer file.Close()

		job, err := flags.client.submit(ctx, file, *window, *key)
		if err != nil {
			return errors.Trace(err)
		}

		return commander.printJob(*flags.output, job)
	}}
}

func (commander *Commander) jobShow(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "show", "Show the status of a job.")
	id := clause.Arg("job", "ID of the job.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		job, err := flags.client.job(ctx, *id)
		if err != nil {
			return errors.Trace(err)
		}

		return commander.printJob(*flags.output, job)
	}}
}

func (commander *Commander) jobList(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "list", "List the jobs of the workspace's firm.")

	return command{clause: clause, run: func(ctx context.Context) error {
		jobs, err := flags.client.list(ctx)
		if err != nil {
			return errors.Trace(err)
		}

		if *flags.output == "json" {
			return errors.Trace(json.NewEncoder(commander.Out).Encode(jobs))
		}

		for _, job := range jobs {
			fmt.Fprintf(commander.Out, "%s %s\n", job.ID, job.Status)
		}

		return nil
	}}
}

func (commander *Commander) jobResults(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "results", "Print the results of a job, one JSON object a line.")
	id := clause.Arg("job", "ID of the job.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		return flags.client.results(ctx, *id, commander.Out)
	}}
}

func (commander *Commander) jobCancel(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "cancel", "Cancel a job; finished items keep their results.")
	id := clause.Arg("job", "ID of the job.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		job, err := flags.client.cancel(ctx, *id)
		if err != nil {
			return errors.Trace(err)
		}

		return commander.printJob(*flags.output, job)
	}}
}

func (commander *Commander) jobWatch(application *kingpin.Application) command {
	clause, flags := commander.addJobCommand(application, "watch", "Follow a job until it has ended.")
	id := clause.Arg("job", "ID of the job.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		report := commander.progressReporter(*flags.output)

		for {
			job, err := flags.client.job(ctx, *id)
			if err != nil {
				return errors.Trace(err)
			}

			report(job)

			if job.Status == "completed" || job.Status == "cancelled" {
				return commander.printJob(*flags.output, job)
			}

			select {
			case <-time.After(jobPollInterval):
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			}
		}
	}}
}

// progressReporter returns a function that shows a job's progress: as a bar on a
// terminal, otherwise as a line for each change. For JSON output it shows nothing.
func (commander *Commander) progressReporter(output string) func(job jobStatus) {
	if output == "json" {
		return func(jobStatus) {}
	}

	if isTerminal(commander.Err) {
		var bar *progressbar.ProgressBar

		return func(job jobStatus) {
			if bar == nil {
				bar = progressbar.NewOptions(job.Counts.Total, progressbar.OptionSetWriter(commander.Err), progressbar.OptionShowCount())
			}

			// A bar that cannot be drawn is no reason to stop watching.
			_ = bar.Set(job.endedItems())
		}
	}

	last := -1

	return func(job jobStatus) {
		if job.endedItems() != last {
			last = job.endedItems()
			fmt.Fprintf(commander.Err, "%s %d of %d\n", job.Status, last, job.Counts.Total)
		}
	}
}

func isTerminal(writer io.Writer) bool {
	file, isFile := writer.(*os.File)

	return isFile && term.IsTerminal(int(file.Fd()))
}

func (commander *Commander) printJob(output string, job jobStatus) error {
	if output == "json" {
		return errors.Trace(json.NewEncoder(commander.Out).Encode(job))
	}

	fmt.Fprintf(commander.Out, "%s %s items=%d completed=%d failed=%d cancelled=%d\n",
		job.ID, job.Status, job.Counts.Total, job.Counts.Completed, job.Counts.Failed, job.Counts.Cancelled)

	return nil
}
