package verifier

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDemoOncePassesEveryCheck(t *testing.T) {
	folder, err := binaries()
	require.NoError(t, err)

	out, err := exec.CommandContext(t.Context(), filepath.Join(folder, "limpetrail"), "demo", "--once").CombinedOutput()
	require.NoError(t, err, string(out))
	require.NotContains(t, string(out), "FAILED")
}

func TestCheckCommandReportsInvalidSettings(t *testing.T) {
	folder, err := binaries()
	require.NoError(t, err)

	settings := writeFile(t, "entry.ini", "[Instance]\nTitle = entry-1\n")
	command := exec.CommandContext(t.Context(), filepath.Join(folder, "limpetrail"), "check", "entry", settings)

	out, err := command.CombinedOutput()
	require.Error(t, err)
	require.Equal(t, 2, command.ProcessState.ExitCode())
	require.Contains(t, string(out), "[Instance] Title")
	require.Contains(t, string(out), "[Instance] Name")
}
