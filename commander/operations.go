package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/handler"
	"limpetrail/loader"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// entryFlag adds the flag for the address of the entry to call.
func entryFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("entry", "Host and port of an entry.").Default("127.0.0.1:8080").Envar("LIMPETRAIL_ENTRY").String()
}

// outputFlag adds the flag for the output format.
func outputFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("output", "Output format.").Default(outputText).Enum(outputText, outputJSON)
}

func (commander *Commander) check(application *kingpin.Application) command {
	clause := application.Command("check", "Check a settings file without starting anything.")
	role := clause.Arg("role", "Role the file is for.").Required().Enum("entry", "sidecar", "gateway", "holder")
	path := clause.Arg("file", "INI file.").Required().String()

	return command{clause: clause, run: func(context.Context) error {
		if err := checkSettings(*role, *path); err != nil {
			return errors.WithType(err, errors.NotValid)
		}

		fmt.Fprintf(commander.Out, "%s: valid settings of a %s\n", *path, *role)

		return nil
	}}
}

func checkSettings(role, path string) error {
	switch role {
	case "entry":
		settings := loader.DefaultEntry()

		return loader.Load(path, &settings)
	case "sidecar":
		settings := loader.DefaultSidecar()

		return loader.Load(path, &settings)
	case "gateway":
		settings := loader.DefaultGateway()

		return loader.Load(path, &settings)
	default:
		settings := loader.DefaultHolder()

		return loader.Load(path, &settings)
	}
}

func (commander *Commander) request(application *kingpin.Application) command {
	clause := application.Command("request", "Send a completion request and print the answer as it is generated.")
	entry := entryFlag(clause)
	workspace := clause.Flag("workspace", "Workspace of the caller.").Required().String()
	service := clause.Flag("service", "Service to call.").Required().String()
	maxTokens := clause.Flag("max-tokens", "Maximum number of tokens in the answer.").Default("64").Int()
	prompt := clause.Arg("prompt", "Text to complete.").Required().String()

	return command{clause: clause, run: func(ctx context.Context) error {
		body, err := json.Marshal(map[string]any{"model": *service, "prompt": *prompt, "max_tokens": *maxTokens, "stream": true})
		if err != nil {
			return errors.Trace(err)
		}

		caller := client{entry: *entry, headers: map[string]string{handler.WorkspaceHeader: *workspace}}

		response, err := caller.send(ctx, http.MethodPost, "/v1/completions", strings.NewReader(string(body)))
		if err != nil {
			return errors.Trace(err)
		}
		defer response.Body.Close()

		return commander.printStream(response)
	}}
}

func (commander *Commander) status(application *kingpin.Application) command {
	clause := application.Command("status", "Show the state on which an entry or gateway bases its decisions.")
	entry := entryFlag(clause)
	output := outputFlag(clause)

	return command{clause: clause, run: func(ctx context.Context) error {
		text, err := client{entry: *entry}.get(ctx, "/v1/status")
		if err != nil {
			return errors.Trace(err)
		}

		return commander.print(*output, text, func(out io.Writer) error { return printStatus(out, text) })
	}}
}

func (commander *Commander) version(application *kingpin.Application) command {
	clause := application.Command("version", "Print the version.")

	return command{clause: clause, run: func(context.Context) error {
		build, found := debug.ReadBuildInfo()
		if !found {
			return errors.NotFoundf("build information")
		}

		fmt.Fprintln(commander.Out, "limpetrail", build.Main.Version, build.GoVersion)

		return nil
	}}
}

func (commander *Commander) completion(application *kingpin.Application) command {
	clause := application.Command("completion", "Print a shell completion script.")
	shell := clause.Arg("shell", "Shell.").Required().Enum("bash", "zsh")

	return command{clause: clause, run: func(context.Context) error {
		templates := map[string]string{
			"bash": kingpin.BashCompletionTemplate,
			"zsh":  kingpin.ZshCompletionTemplate,
		}

		context, err := application.ParseContext(nil)
		if err != nil {
			return errors.Trace(err)
		}

		application.UsageWriter(commander.Out)

		return errors.Trace(application.UsageForContextWithTemplate(context, 0, templates[*shell]))
	}}
}

// print writes the answer as received if JSON output is wanted, otherwise calls printText.
func (commander *Commander) print(output string, text []byte, printText func(io.Writer) error) error {
	if output == outputJSON {
		_, err := commander.Out.Write(text)

		return errors.Trace(err)
	}

	return printText(commander.Out)
}
