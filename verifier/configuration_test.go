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

// runCommand runs a limpetrail command and returns its output and exit code.
func (fleet *fleet) runCommand(arguments ...string) (string, int) {
	fleet.t.Helper()

	command := exec.CommandContext(fleet.t.Context(), filepath.Join(fleet.binaries, "limpetrail"), arguments...)
	out, err := command.CombinedOutput()
	fleet.t.Logf("%s\n%s%v", strings.Join(arguments, " "), out, err)

	return string(out), command.ProcessState.ExitCode()
}

// awaitConfiguration waits until the entry's configuration contains the expected
// text, and returns it.
func (fleet *fleet) awaitConfiguration(entry, expected string) string {
	fleet.t.Helper()

	var out string

	require.Eventually(fleet.t, func() bool {
		response, err := http.Get("http://" + fleet.addresses[entry] + presenter.ConfigurationPath) //nolint:noctx // The entry is killed when the test ends.
		if err != nil {
			return false
		}
		defer response.Body.Close()

		configuration := presenter.Configuration{}
		if json.NewDecoder(response.Body).Decode(&configuration) != nil {
			return false
		}

		encoded, err := json.Marshal(configuration)
		out = string(encoded)

		return err == nil && strings.Contains(out, expected)
	}, waitTimeout, 50*time.Millisecond)

	return out
}

// setFaults sets the fault switches of the named stand-in.
func (fleet *fleet) setFaults(name string, switches emulator.FaultSwitches) {
	fleet.t.Helper()
	fleet.post(fleet.addresses[name], "/faults", switches)
}

func twoFirmDocument() editor.Document {
	return editor.Document{
		Operators: []string{"olga", "otto"},
		Firms:     []editor.Firm{{Name: "north", Staff: []string{"nina"}, Share: 1}, {Name: "south", Share: 1}},
	}
}

// A change from the command line through one entry is applied at the others, also
// when the key-value service loses answers. Concurrent edits are merged, or refused
// if they conflict.
func TestConfigurationThroughTheCommandLine(t *testing.T) {
	fleet := newFleet(t, twoFirmDocument())
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")
	first := fleet.awaitConfiguration("entry-1", `"north"`)
	flags := []string{"--entry", fleet.addresses["entry-1"], "--operator"}
	edit := func(old, changed string) string {
		require.Contains(t, first, old)

		return writeFile(t, "document.json", strings.Replace(first, old, changed, 1))
	}
	northChanged := edit(`"Staff":["nina"],"Share":1`, `"Staff":["nina"],"Share":2`)
	conflicting := edit(`"Staff":["nina"],"Share":1`, `"Staff":["nina"],"Share":3`)
	southChanged := edit(`"Name":"south","Staff":null,"Share":1`, `"Name":"south","Staff":null,"Share":5`)
	invalid := edit(`"Share":1`, `"Share":0,"Shar":1`)

	out, code := fleet.runCommand(append([]string{"config", "diff", northChanged}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	require.Contains(t, out, "Firms[north].Share")

	_, code = fleet.runCommand(append([]string{"config", "apply", "--dry-run", northChanged}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	require.Equal(t, first, fleet.awaitConfiguration("entry-1", "north"))

	fleet.setFaults("kv", emulator.FaultSwitches{DropAnswers: 2})
	_, code = fleet.runCommand(append([]string{"config", "apply", northChanged}, append(flags, "olga")...)...)
	require.Equal(t, 0, code)
	fleet.awaitConfiguration("entry-2", `"Share":2`)

	_, code = fleet.runCommand(append([]string{"config", "apply", southChanged}, append(flags, "otto")...)...)
	require.Equal(t, 0, code)
	require.Contains(t, fleet.awaitConfiguration("entry-2", `"Share":5`), `"Share":2`)

	out, code = fleet.runCommand(append([]string{"config", "apply", "--output", "json", conflicting}, append(flags, "otto")...)...)
	require.Equal(t, 4, code)
	require.Contains(t, out, `"Mine":3,"Theirs":2`)

	_, code = fleet.runCommand(append([]string{"config", "apply", southChanged}, append(flags, "nobody")...)...)
	require.Equal(t, 0, code, "an edit that changes nothing needs no permission")

	_, code = fleet.runCommand(append([]string{"config", "apply", edit(`"Name":"south","Staff":null,"Share":1`, `"Name":"south","Staff":["nobody"],"Share":1`)}, append(flags, "nobody")...)...)
	require.Equal(t, 3, code)

	out, code = fleet.runCommand("config", "check", invalid)
	require.Equal(t, 2, code)
	require.Contains(t, out, "Document.Firms[0].Shar")

	out, code = fleet.runCommand("config", "history", "--entry", fleet.addresses["entry-2"])
	require.Equal(t, 0, code)
	require.Contains(t, out, "olga")
	require.Contains(t, out, "otto")
}

// While the key-value service is down, edits are refused and no entry reverts to an
// older document. An entry that is killed and restarted gets the document from its
// peers.
func TestConfigurationInAnOutageWithARestart(t *testing.T) {
	fleet := newFleet(t, twoFirmDocument())
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")
	first := fleet.awaitConfiguration("entry-1", `"north"`)
	require.Equal(t, first, fleet.awaitConfiguration("entry-2", `"north"`))
	changed := writeFile(t, "document.json", strings.Replace(first, `"Share":1`, `"Share":2`, 1))

	fleet.setFaults("kv", emulator.FaultSwitches{Outage: true})
	fleet.signal("entry-1", syscall.SIGKILL)
	<-fleet.processes["entry-1"].exited

	fleet.instances = []locator.Instance{fleet.instances[1]}
	fleet.startEntry("entry-1")
	require.Equal(t, first, fleet.awaitConfiguration("entry-1", `"north"`))

	_, code := fleet.runCommand("config", "apply", changed, "--entry", fleet.addresses["entry-1"], "--operator", "olga")
	require.Equal(t, 3, code)
	require.Equal(t, first, fleet.awaitConfiguration("entry-2", `"north"`))

	fleet.setFaults("kv", emulator.FaultSwitches{})
	require.Eventually(t, func() bool {
		_, code := fleet.runCommand("config", "apply", changed, "--entry", fleet.addresses["entry-1"], "--operator", "olga")

		return code == 0
	}, waitTimeout, 100*time.Millisecond)
	fleet.awaitConfiguration("entry-2", `"Share":2`)
}
