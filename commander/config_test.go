package commander_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/commander"
	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/presenter"
	"limpetrail/publisher"
)

// fixture is an HTTP server with an entry's configuration API, called through command
// lines.
type fixture struct {
	t     *testing.T
	store *emulator.Store
	// entry is the server's host and port.
	entry string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	common := kernel.NewDiscardCommon("entry-1")
	store := emulator.NewStore()
	documentPublisher := publisher.NewPublisher(common, store)
	documentEditor := editor.NewEditor(common, store, editor.WithRecordObserver(func(revision keeper.Revision, value []byte) {
		_, err := documentPublisher.ApplyUpdate(revision, value)
		require.NoError(t, err)
	}))
	mux := http.NewServeMux()
	presenter.NewAPI(common, documentEditor, documentPublisher).Register(mux)

	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	document := editor.Document{
		Operators: []string{"olga", "otto"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Share: 1}},
	}
	require.Equal(t, editor.VerdictApplied, documentEditor.Apply(t.Context(), editor.Edit{Operator: "olga", Document: &document}).Verdict)

	return &fixture{t: t, store: store, entry: strings.TrimPrefix(server.URL, "http://")}
}

// run runs a command line and returns its output and exit code.
func (fixture *fixture) run(arguments ...string) (string, int) {
	out := &bytes.Buffer{}
	code := commander.NewCommander(out, out).Run(fixture.t.Context(), arguments)

	return out.String(), code
}

// show returns the output of config show.
func (fixture *fixture) show() string {
	fixture.t.Helper()

	out, code := fixture.run("config", "show", "--entry", fixture.entry)
	require.Equal(fixture.t, commander.ExitOK, code, out)

	return out
}

// writeChangedConfig writes the output of config show to a file, with old replaced by
// changed, and returns the path.
func (fixture *fixture) writeChangedConfig(old, changed string) string {
	fixture.t.Helper()

	text := fixture.show()
	require.Contains(fixture.t, text, old)

	path := filepath.Join(fixture.t.TempDir(), "document.json")
	require.NoError(fixture.t, os.WriteFile(path, []byte(strings.Replace(text, old, changed, 1)), 0o600))

	return path
}

func TestConfigCommandsAndTheirExitCodes(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// old is replaced by changed in the file passed to the command.
		old, changed string
		arguments    []string
		// concurrent replaces "Share": 1 in an edit that another operator applies after the
		// file was written.
		concurrent string
		switches   emulator.FaultSwitches
		code       int
		output     string
		// share is the share of firm north afterwards.
		share int
	}{
		{name: "check passes", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"check"}, code: commander.ExitOK, output: "Passed", share: 1},
		{name: "check lists every fault", old: `"Share": 1`, changed: `"Share": 0, "Shar": 3`, arguments: []string{"check"}, code: commander.ExitUsage, output: "Shar", share: 1},
		{name: "diff writes nothing", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"diff"}, code: commander.ExitOK, output: "Firms[north].Share\n  - 1\n  + 2", share: 1},
		{name: "dry run writes nothing", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply", "--dry-run"}, code: commander.ExitOK, output: "Passed", share: 1},
		{name: "apply", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, code: commander.ExitOK, output: "Applied, revision 2", share: 2},
		{name: "apply without changes", old: `"Share": 1`, changed: `"Share": 1`, arguments: []string{"apply"}, code: commander.ExitOK, output: "Unchanged", share: 1},
		{name: "invalid document is not sent", old: `"Share": 1`, changed: `"Share": 0`, arguments: []string{"apply"}, code: commander.ExitUsage, output: "Firms[north].Share", share: 1},
		{name: "operator without permission", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply", "--operator", "nina"}, code: commander.ExitRefused, output: "Firms[north]", share: 1},
		{name: "conflict shows both values", old: `"Share": 1`, changed: `"Share": 2`, concurrent: `"Share": 7`, arguments: []string{"apply"}, code: commander.ExitConflict, output: "before 1\n  mine   2\n  theirs 7", share: 7},
		{name: "revision that does not exist", old: `"Revision": 1`, changed: `"Revision": 9`, arguments: []string{"apply"}, code: commander.ExitConflict, output: "Stale", share: 1},
		{name: "key-value service down", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, switches: emulator.FaultSwitches{Outage: true}, code: commander.ExitRefused, output: "Unavailable", share: 1},
		{name: "answer lost", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, switches: emulator.FaultSwitches{DropAnswers: 1}, code: commander.ExitOK, output: "Applied, revision 2", share: 2},
		{name: "JSON", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"diff", "--output", "json"}, code: commander.ExitOK, output: `"Verdict":"Passed"`, share: 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			fixture := newFixture(t)
			path := fixture.writeChangedConfig(scenario.old, scenario.changed)

			if scenario.concurrent != "" {
				out, code := fixture.run("config", "apply", "--entry", fixture.entry, "--operator", "otto", fixture.writeChangedConfig(`"Share": 1`, scenario.concurrent))
				require.Equal(t, commander.ExitOK, code, out)
			}

			arguments := append([]string{"config"}, scenario.arguments...)
			if scenario.arguments[0] != "check" {
				arguments = append(arguments, "--entry", fixture.entry)
				t.Setenv("LIMPETRAIL_OPERATOR", "olga")
			}

			fixture.store.Faults.Set(scenario.switches)
			out, code := fixture.run(append(arguments, path)...)
			require.Equal(t, scenario.code, code, out)
			require.Contains(t, out, scenario.output)

			fixture.store.Faults.Set(emulator.FaultSwitches{})

			shown := presenter.Configuration{}
			require.NoError(t, json.Unmarshal([]byte(fixture.show()), &shown))
			require.Equal(t, scenario.share, shown.Document.Firms[0].Share)
		})
	}
}

func TestConfigHistory(t *testing.T) {
	fixture := newFixture(t)
	out, code := fixture.run("config", "apply", "--entry", fixture.entry, "--operator", "otto", fixture.writeChangedConfig(`"Share": 1`, `"Share": 2`))
	require.Equal(t, commander.ExitOK, code, out)

	out, code = fixture.run("config", "history", "--entry", fixture.entry)
	require.Equal(t, commander.ExitOK, code, out)
	require.Regexp(t, `(?m)^2 +\S+ +otto +Firms\[north\]\.Share +1 +2 *$`, out)

	fixture.store.Faults.Set(emulator.FaultSwitches{Outage: true})

	out, code = fixture.run("config", "history", "--entry", fixture.entry)
	require.Equal(t, commander.ExitRefused, code)
	require.Contains(t, out, "retry after 5 s")

	// The document in force is served from memory during the outage.
	require.Contains(t, fixture.show(), `"Share": 2`)
}

// An edit whose answers are all lost may have been written; the command must report that
// instead of a plain failure.
func TestConfigApplyWithoutAnswerExitsUnknown(t *testing.T) {
	fixture := newFixture(t)
	path := fixture.writeChangedConfig(`"Share": 1`, `"Share": 2`)

	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	out, code := fixture.run("config", "apply", "--entry", strings.TrimPrefix(closed.URL, "http://"), "--operator", "olga", path)
	require.Equal(t, commander.ExitUnknown, code)
	require.Contains(t, out, "may be in the history under mark")

	out, code = fixture.run("config", "check", filepath.Join(t.TempDir(), "none.json"))
	require.Equal(t, commander.ExitUsage, code, out)
}
