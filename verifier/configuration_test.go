package verifier

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/locator"
	"limpetrail/presenter"
)

// command runs limpetrail and returns its output and exit code.
func (fleet *fleet) command(arguments ...string) (string, int) {
	fleet.t.Helper()

	command := exec.CommandContext(fleet.t.Context(), filepath.Join(fleet.binaries, "limpetrail"), arguments...)
	out, err := command.CombinedOutput()
	fleet.t.Logf("%s\n%s%v", strings.Join(arguments, " "), out, err)

	return string(out), command.ProcessState.ExitCode()
}

// shown returns what an entry says is in force, once it has a document with
// the wanted text.
func (fleet *fleet) shown(entry, wanted string) string {
	fleet.t.Helper()

	var out string

	require.Eventually(fleet.t, func() bool {
		response, err := http.Get("http://" + fleet.addresses[entry] + presenter.ConfigurationPath) //nolint:noctx // The test's end ends the entry.
		if err != nil {
			return false
		}
		defer response.Body.Close()

		shown := presenter.Configuration{}
		if json.NewDecoder(response.Body).Decode(&shown) != nil {
			return false
		}

		encoded, err := json.Marshal(shown)
		out = string(encoded)

		return err == nil && strings.Contains(out, wanted)
	}, patience, 50*time.Millisecond)

	return out
}

// faults sets the fault switches of a stand-in.
func (fleet *fleet) faults(name string, switches emulator.FaultSwitches) {
	fleet.t.Helper()
	fleet.post(fleet.addresses[name], "/faults", switches)
}

func configuredDocument() editor.Document {
	return editor.Document{
		Operators: []string{"olga", "otto"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Share: 1}},
	}
}

// A change goes from the command line through one entry into force at the
// others, with lost answers; edits that race are merged or refused.
func TestConfigurationThroughTheCommandLine(t *testing.T) {
	fleet := newFleet(t, configuredDocument())
	fleet.entry("entry-1")
	fleet.entry("entry-2")
	first := fleet.shown("entry-1", `"north"`)
	flags := []string{"--entry", fleet.addresses["entry-1"], "--operator"}
	edit := func(old, changed string) string {
		require.Contains(t, first, old)

		return writeFile(t, "document.json", strings.Replace(first, old, changed, 1))
	}
	north := edit(`"Staff":["nina"],"Share":1`, `"Staff":["nina"],"Share":2`)
	northAgain := edit(`"Staff":["nina"],"Share":1`, `"Staff":["nina"],"Share":3`)
	south := edit(`"Name":"south","Staff":null,"Share":1`, `"Name":"south","Staff":null,"Share":5`)
	wrong := edit(`"Share":1`, `"Share":0,"Shar":1`)

	out, code := fleet.command(append([]string{"config", "diff", north}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	require.Contains(t, out, "Firms[north].Share")

	_, code = fleet.command(append([]string{"config", "apply", "--dry-run", north}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	require.Equal(t, first, fleet.shown("entry-1", "north"))

	fleet.faults("kv", emulator.FaultSwitches{DropAnswers: 2})
	_, code = fleet.command(append([]string{"config", "apply", north}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	fleet.shown("entry-2", `"Share":2`)

	_, code = fleet.command(append([]string{"config", "apply", south}, append(flags, "otto")...)...)
	require.Equal(t, 0, code)
	require.Contains(t, fleet.shown("entry-2", `"Share":5`), `"Share":2`)

	out, code = fleet.command(append([]string{"config", "apply", "--output", "json", northAgain}, append(flags, "otto")...)...)
	require.Equal(t, 4, code)
	require.Contains(t, out, `"Mine":3,"Theirs":2`)

	_, code = fleet.command(append([]string{"config", "apply", south}, append(flags, "nobody")...)...)
	require.Equal(t, 0, code, "an edit that changes nothing needs no right")

	_, code = fleet.command(append([]string{"config", "apply", edit(`"Name":"south","Staff":null,"Share":1`, `"Name":"south","Staff":["nobody"],"Share":1`)}, append(flags, "nobody")...)...)
	require.Equal(t, 3, code)

	out, code = fleet.command("config", "check", wrong)
	require.Equal(t, 2, code)
	require.Contains(t, out, "Document.Firms[0].Shar")

	out, code = fleet.command("config", "history", "--entry", fleet.addresses["entry-2"])
	require.Equal(t, 0, code)
	require.Contains(t, out, "olga")
	require.Contains(t, out, "otto")
}

// The key-value service is down: an edit is refused, nothing reverts, and an
// entry that is killed and starts again serves the document from its peers.
func TestConfigurationInAnOutageWithARestart(t *testing.T) {
	fleet := newFleet(t, configuredDocument())
	fleet.entry("entry-1")
	fleet.entry("entry-2")
	first := fleet.shown("entry-1", `"north"`)
	require.Equal(t, first, fleet.shown("entry-2", `"north"`))
	changed := writeFile(t, "document.json", strings.Replace(first, `"Share":1`, `"Share":2`, 1))

	fleet.faults("kv", emulator.FaultSwitches{Outage: true})
	fleet.signal("entry-1", syscall.SIGKILL)
	<-fleet.processes["entry-1"].ended

	fleet.instances = []locator.Instance{fleet.instances[1]}
	fleet.entry("entry-1")
	require.Equal(t, first, fleet.shown("entry-1", `"north"`))

	_, code := fleet.command("config", "apply", changed, "--entry", fleet.addresses["entry-1"], "--operator", "olga")
	require.Equal(t, 3, code)
	require.Equal(t, first, fleet.shown("entry-2", `"north"`))

	fleet.faults("kv", emulator.FaultSwitches{})
	require.Eventually(t, func() bool {
		_, code := fleet.command("config", "apply", changed, "--entry", fleet.addresses["entry-1"], "--operator", "olga")

		return code == 0
	}, patience, 100*time.Millisecond)
	fleet.shown("entry-2", `"Share":2`)
}
