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

// desk is an entry's configuration interface, called by command lines.
type desk struct {
	t     *testing.T
	store *emulator.Store
	entry string
}

func newDesk(t *testing.T) *desk {
	t.Helper()

	common := kernel.Discard("entry-1")
	store := emulator.NewStore()
	documents := publisher.NewPublisher(common, store)
	edits := editor.NewEditor(common, store, editor.WithWritten(func(revision keeper.Revision, value []byte) {
		_, err := documents.ApplyUpdate(revision, value)
		require.NoError(t, err)
	}))
	mux := http.NewServeMux()
	presenter.NewAPI(common, edits, documents).Register(mux)

	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	document := editor.Document{
		Operators: []string{"olga", "otto"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Share: 1}},
	}
	require.Equal(t, editor.VerdictApplied, edits.Apply(t.Context(), editor.Edit{Operator: "olga", Document: &document}).Verdict)

	return &desk{t: t, store: store, entry: strings.TrimPrefix(server.URL, "http://")}
}

// run runs a command line and returns its output and exit code.
func (desk *desk) run(arguments ...string) (string, int) {
	out := &bytes.Buffer{}
	code := commander.NewCommander(out, out).Run(desk.t.Context(), arguments)

	return out.String(), code
}

// show returns the text of config show.
func (desk *desk) show() string {
	desk.t.Helper()

	out, code := desk.run("config", "show", "--entry", desk.entry)
	require.Equal(desk.t, commander.ExitOK, code, out)

	return out
}

// file writes what config show printed, with one replacement.
func (desk *desk) file(old, changed string) string {
	desk.t.Helper()

	text := desk.show()
	require.Contains(desk.t, text, old)

	path := filepath.Join(desk.t.TempDir(), "document.json")
	require.NoError(desk.t, os.WriteFile(path, []byte(strings.Replace(text, old, changed, 1)), 0o600))

	return path
}

func TestConfigCommandsAndTheirExitCodes(t *testing.T) {
	for _, scenario := range []struct {
		name string
		// old is replaced by changed in the file that the command is given.
		old, changed string
		arguments    []string
		// meanwhile is applied by another operator after the file was read.
		meanwhile string
		switches  emulator.Switches
		code      int
		printed   string
		// share is that of north in force afterwards.
		share int
	}{
		{name: "check passes", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"check"}, code: commander.ExitOK, printed: "Passed", share: 1},
		{name: "check lists every fault", old: `"Share": 1`, changed: `"Share": 0, "Shar": 3`, arguments: []string{"check"}, code: commander.ExitUsage, printed: "Shar", share: 1},
		{name: "diff writes nothing", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"diff"}, code: commander.ExitOK, printed: "Firms[north].Share\n  - 1\n  + 2", share: 1},
		{name: "dry run writes nothing", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply", "--dry-run"}, code: commander.ExitOK, printed: "Passed", share: 1},
		{name: "apply", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, code: commander.ExitOK, printed: "Applied, revision 2", share: 2},
		{name: "apply of what is in force", old: `"Share": 1`, changed: `"Share": 1`, arguments: []string{"apply"}, code: commander.ExitOK, printed: "Unchanged", share: 1},
		{name: "faults are not sent", old: `"Share": 1`, changed: `"Share": 0`, arguments: []string{"apply"}, code: commander.ExitUsage, printed: "Firms[north].Share", share: 1},
		{name: "no right", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply", "--operator", "nina"}, code: commander.ExitRefused, printed: "Firms[north]", share: 1},
		{name: "conflict shows both values", old: `"Share": 1`, changed: `"Share": 2`, meanwhile: `"Share": 7`, arguments: []string{"apply"}, code: commander.ExitConflict, printed: "before 1\n  mine   2\n  theirs 7", share: 7},
		{name: "revision that does not exist", old: `"Revision": 1`, changed: `"Revision": 9`, arguments: []string{"apply"}, code: commander.ExitConflict, printed: "Stale", share: 1},
		{name: "service down", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, switches: emulator.Switches{Outage: true}, code: commander.ExitRefused, printed: "Unavailable", share: 1},
		{name: "answer lost", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"apply"}, switches: emulator.Switches{DropAnswers: 1}, code: commander.ExitOK, printed: "Applied, revision 2", share: 2},
		{name: "JSON", old: `"Share": 1`, changed: `"Share": 2`, arguments: []string{"diff", "--output", "json"}, code: commander.ExitOK, printed: `"Verdict":"Passed"`, share: 1},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			desk := newDesk(t)
			path := desk.file(scenario.old, scenario.changed)

			if scenario.meanwhile != "" {
				out, code := desk.run("config", "apply", "--entry", desk.entry, "--operator", "otto", desk.file(`"Share": 1`, scenario.meanwhile))
				require.Equal(t, commander.ExitOK, code, out)
			}

			arguments := append([]string{"config"}, scenario.arguments...)
			if scenario.arguments[0] != "check" {
				arguments = append(arguments, "--entry", desk.entry)
				t.Setenv("LIMPETRAIL_OPERATOR", "olga")
			}

			desk.store.Faults.Set(scenario.switches)
			out, code := desk.run(append(arguments, path)...)
			require.Equal(t, scenario.code, code, out)
			require.Contains(t, out, scenario.printed)

			desk.store.Faults.Set(emulator.Switches{})

			shown := presenter.Configuration{}
			require.NoError(t, json.Unmarshal([]byte(desk.show()), &shown))
			require.Equal(t, scenario.share, shown.Document.Firms[0].Share)
		})
	}
}

func TestConfigHistory(t *testing.T) {
	desk := newDesk(t)
	out, code := desk.run("config", "apply", "--entry", desk.entry, "--operator", "otto", desk.file(`"Share": 1`, `"Share": 2`))
	require.Equal(t, commander.ExitOK, code, out)

	out, code = desk.run("config", "history", "--entry", desk.entry)
	require.Equal(t, commander.ExitOK, code, out)
	require.Regexp(t, `(?m)^2 +\S+ +otto +Firms\[north\]\.Share +1 +2 *$`, out)

	desk.store.Faults.Set(emulator.Switches{Outage: true})

	out, code = desk.run("config", "history", "--entry", desk.entry)
	require.Equal(t, commander.ExitRefused, code)
	require.Contains(t, out, "come back in 5 s")

	// What is in force is shown from memory.
	require.Contains(t, desk.show(), `"Share": 2`)
}

// An edit whose answers all get lost may have been written, and says so.
func TestConfigApplyThatNobodyAnswers(t *testing.T) {
	desk := newDesk(t)
	path := desk.file(`"Share": 1`, `"Share": 2`)

	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	out, code := desk.run("config", "apply", "--entry", strings.TrimPrefix(closed.URL, "http://"), "--operator", "olga", path)
	require.Equal(t, commander.ExitUnknown, code)
	require.Contains(t, out, "may be in the history under mark")

	out, code = desk.run("config", "check", filepath.Join(t.TempDir(), "none.json"))
	require.Equal(t, commander.ExitUsage, code, out)
}
