package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/presenter"
)

// config returns the commands that show and change the document.
func (commander *Commander) config(application *kingpin.Application) []command {
	clause := application.Command("config", "Show and change the document, the configuration of firms, models, services and policies.")

	return []command{
		commander.configShow(clause),
		commander.configCheck(clause),
		commander.configEdit(clause.Command("diff", "Show what applying a file would change."), true),
		commander.configEdit(clause.Command("apply", "Apply a file that config show wrote and you changed."), false),
		commander.configHistory(clause),
	}
}

func (commander *Commander) configShow(parent *kingpin.CmdClause) command {
	clause := parent.Command("show", "Print revision and document as JSON, the form that apply reads.")
	entry := entryFlag(clause)
	// The flag has no effect here. It exists so that scripts can pass it to every command.
	outputFlag(clause)

	return command{clause: clause, run: func(ctx context.Context) error {
		text, err := client{entry: *entry}.get(ctx, presenter.ConfigurationPath)
		if err != nil {
			return errors.Trace(err)
		}

		indented := &bytes.Buffer{}
		if err := json.Indent(indented, text, "", "  "); err != nil {
			return errors.Trace(err)
		}

		_, err = indented.WriteTo(commander.Out)

		return errors.Trace(err)
	}}
}

// readConfigurationFile reads a file and returns its configuration and all its faults.
func readConfigurationFile(path string) (presenter.Configuration, []classifier.Fault, error) {
	configuration := presenter.Configuration{Document: &editor.Document{}}

	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return configuration, nil, errors.WithType(errors.Annotate(err, "reading the document"), errors.NotValid)
	}

	checked := struct {
		Revision keeper.Revision
		Document editor.Document
	}{}
	if faults := editor.CheckFields(text, &checked); len(faults) > 0 {
		return configuration, faults, nil
	}

	if err := json.Unmarshal(text, &configuration); err != nil {
		return configuration, nil, errors.NewNotValid(err, "reading the document")
	}

	return configuration, editor.Validate(configuration.Document), nil
}

func (commander *Commander) configEdit(clause *kingpin.CmdClause, dryRun bool) command {
	entry := entryFlag(clause)
	output := outputFlag(clause)
	operator := clause.Flag("operator", "Name of the operator.").Required().Envar("LIMPETRAIL_OPERATOR").String()
	path := clause.Arg("file", "File as config show writes it.").Required().String()

	if !dryRun {
		clause.Flag("dry-run", "Check and compare without writing.").BoolVar(&dryRun)
	}

	return command{clause: clause, run: func(ctx context.Context) error {
		configuration, faults, err := readConfigurationFile(*path)
		if err != nil {
			return errors.Trace(err)
		}

		if len(faults) > 0 {
			return commander.printResult(*output, editor.Result{Verdict: editor.VerdictInvalid, Faults: faults})
		}

		result, err := sendEdit(ctx, *entry, *operator, presenter.EditRequest{
			Revision: configuration.Revision,
			Document: *configuration.Document,
			Mark:     editor.NewMark(),
			DryRun:   dryRun,
		})
		if err != nil {
			return errors.Trace(err)
		}

		return commander.printResult(*output, result)
	}}
}

const (
	sendAttempts   = 3
	sendRetryDelay = time.Second
	sendTimeout    = 15 * time.Second
)

// sendEdit sends an edit. If its outcome is unknown, it sends the edit again under the
// same mark, by which the editor recognizes it.
func sendEdit(ctx context.Context, entry, operator string, edit presenter.EditRequest) (editor.Result, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return editor.Result{}, errors.Trace(err)
	}

	result := editor.Result{}

	for attempt := range sendAttempts {
		if attempt > 0 {
			time.Sleep(sendRetryDelay)
		}

		result, err = postEdit(ctx, entry, operator, body)
		if err == nil && result.Verdict != editor.VerdictUnknown {
			return result, nil
		}
	}

	if err != nil {
		err = errors.WithType(errors.Annotatef(err, "no answer; the edit may be in the history under mark %s", edit.Mark), errOutcomeUnknown)
	}

	return result, err
}

func postEdit(ctx context.Context, entry, operator string, body []byte) (editor.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+presenter.ConfigurationPath, bytes.NewReader(body))
	if err != nil {
		return editor.Result{}, errors.Trace(err)
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(presenter.OperatorHeader, operator)

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return editor.Result{}, errors.Annotatef(err, "calling entry %s", entry)
	}
	defer response.Body.Close()

	result := editor.Result{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&result)

	return result, errors.Annotatef(err, "reading the answer with status %s", response.Status)
}

// printResult prints a result. For an edit that was not accepted it returns an error
// whose type determines the exit code.
func (commander *Commander) printResult(output string, result editor.Result) error {
	if output == outputJSON {
		if err := json.NewEncoder(commander.Out).Encode(result); err != nil {
			return errors.Trace(err)
		}
	} else {
		printResultText(commander.Out, result)
	}

	if result.Accepted() {
		return nil
	}

	err := errors.Errorf("%s %s", result.Verdict, result.Reason)

	switch result.Verdict {
	case editor.VerdictConflict, editor.VerdictStale:
		return errors.WithType(err, errConflict)
	case editor.VerdictUnknown:
		return errors.WithType(err, errOutcomeUnknown)
	case editor.VerdictInvalid:
		return errors.WithType(err, errors.NotValid)
	default:
		return errors.WithType(err, errRefused)
	}
}

func printResultText(out io.Writer, result editor.Result) {
	fmt.Fprintf(out, "%s, revision %d\n", result.Verdict, result.Revision)

	for _, difference := range result.Differences {
		fmt.Fprintf(out, "%s\n  - %s\n  + %s\n", difference.Field(), difference.Before, difference.After)
	}

	for _, fault := range result.Faults {
		fmt.Fprintf(out, "%s = %q: %s\n", fault.Field, fault.Value, fault.Remedy)
	}

	for _, conflict := range result.Conflicts {
		fmt.Fprintf(out, "%s was changed by another operator\n  before %s\n  mine   %s\n  theirs %s\n", conflict.Field, conflict.Base, conflict.Mine, conflict.Theirs)
	}
}

func (commander *Commander) configHistory(parent *kingpin.CmdClause) command {
	clause := parent.Command("history", "Show the newest changes: who, when and what.")
	entry := entryFlag(clause)
	output := outputFlag(clause)

	return command{clause: clause, run: func(ctx context.Context) error {
		text, err := client{entry: *entry}.get(ctx, presenter.ConfigurationPath+"/history")
		if err != nil {
			return errors.Trace(err)
		}

		return commander.print(*output, text, func(out io.Writer) error { return printHistory(out, text) })
	}}
}

func printHistory(out io.Writer, text []byte) error {
	changes := []editor.Change{}
	if err := json.Unmarshal(text, &changes); err != nil {
		return errors.Trace(err)
	}

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tFIELD\tBEFORE\tAFTER")

	for _, change := range changes {
		for _, difference := range change.Differences {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", change.Revision, change.Time.Format(time.RFC3339), change.Operator, difference.Field(), difference.Before, difference.After)
		}

		if change.Truncated {
			fmt.Fprintf(table, "%d\t%s\t%s\t(too many fields to be kept)\t\t\n", change.Revision, change.Time.Format(time.RFC3339), change.Operator)
		}
	}

	return errors.Trace(table.Flush())
}
