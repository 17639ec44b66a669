package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/inspector"
	"limpetrail/matcher"
	"limpetrail/platform"
)

// inspection is the result of checking a document of the platform's operators.
type inspection struct {
	Version int64
	// Against is the version of the document that it was compared with; 0 for none.
	Against     int64
	Remarks     []inspector.Remark
	Differences []inspector.Difference
}

func (commander *Commander) configCheck(parent *kingpin.CmdClause) command {
	clause := parent.Command("check", "Check a file offline, without an entry.")
	output := outputFlag(clause)
	against := clause.Flag("against", "File with the version in force; shows what differs from it. Only for documents of the platform's operators.").String()
	path := clause.Arg("file", "File as config show writes it, or document that the platform's operators write under "+platform.PrefixOperators+platform.KeyConfiguration+".").Required().String()

	return command{clause: clause, run: func(context.Context) error {
		if *against != "" || isPlatformDocument(*path) {
			return commander.inspect(*output, *path, *against)
		}

		_, faults, err := readConfigurationFile(*path)
		if err != nil {
			return errors.Trace(err)
		}

		result := editor.Result{Verdict: editor.VerdictPassed}
		if len(faults) > 0 {
			result = editor.Result{Verdict: editor.VerdictInvalid, Faults: faults}
		}

		return commander.printResult(*output, result)
	}}
}

// isPlatformDocument tells whether a file holds a document of the platform's operators: it has
// a version, where the documents of config show have a revision. A file that cannot be read or
// decoded is reported by the check that follows.
func isPlatformDocument(path string) bool {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return false
	}

	fields := map[string]json.RawMessage{}
	if json.Unmarshal(text, &fields) != nil {
		return false
	}

	_, found := fields["version"]

	return found
}

// readPlatformDocument reads a document of the platform's operators.
func readPlatformDocument(path string) (*matcher.Document, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "reading the document"), errors.NotValid)
	}

	document, err := platform.DecodeDocument(text)
	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, path), errors.NotValid)
	}

	return document, nil
}

// inspect prints the remarks on a document, and how it differs from another one if that is
// given. Remarks are warnings; only a document that cannot be put in force is an error.
func (commander *Commander) inspect(output, path, against string) error {
	document, err := readPlatformDocument(path)
	if err != nil {
		return errors.Trace(err)
	}

	result := inspection{Version: document.Version, Remarks: inspector.Inspect(document), Differences: []inspector.Difference{}}

	if against != "" {
		inForce, err := readPlatformDocument(against)
		if err != nil {
			return errors.Trace(err)
		}

		result.Against, result.Differences = inForce.Version, inspector.Compare(inForce, document)
	}

	if output == outputJSON {
		return errors.Trace(json.NewEncoder(commander.Out).Encode(result))
	}

	printInspection(commander.Out, result)

	return nil
}

func printInspection(out io.Writer, result inspection) {
	fmt.Fprintf(out, "Passed, version %d, %d warnings\n", result.Version, len(result.Remarks))

	for _, remark := range result.Remarks {
		fmt.Fprintf(out, "%s: %s: %s %s\n", remark.Kind, remark.Entry, remark.Problem, remark.Remedy)
	}

	if result.Against == 0 {
		return
	}

	fmt.Fprintf(out, "%d differences from version %d\n", len(result.Differences), result.Against)

	if result.Version <= result.Against {
		fmt.Fprintln(out, "The version is not above the one in force; gateways that have that one ignore this document.")
	}

	for _, difference := range result.Differences {
		fmt.Fprintf(out, "%s %s\n", difference.Change, difference.Entry)

		if difference.Before != "" {
			fmt.Fprintf(out, "  - %s\n", difference.Before)
		}

		if difference.After != "" {
			fmt.Fprintf(out, "  + %s\n", difference.After)
		}
	}
}
