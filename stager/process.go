package stager

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Process is a process of the system.
type Process struct {
	Name    string
	Command *exec.Cmd
	// Callers and Ready are its addresses; empty for a holder.
	Callers string
	Ready   string
	// Operations is where it shows what it believes.
	Operations string
	// Folder is a holder's disk.
	Folder string
	// StoreLink is its own way to the store.
	StoreLink *Link
	// Ended is closed when the process is gone.
	Ended chan struct{}

	mutex sync.Mutex
	lines []string
}

// Logged tells whether a line of the process has the text.
func (process *Process) Logged(text string) bool {
	return slices.ContainsFunc(process.Lines(), func(line string) bool { return strings.Contains(line, text) })
}

// Lines returns the lines of the process so far.
func (process *Process) Lines() []string {
	process.mutex.Lock()
	defer process.mutex.Unlock()

	return slices.Clone(process.lines)
}

// Running tells whether the process has not ended.
func (process *Process) Running() bool {
	select {
	case <-process.Ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal. A process that is gone takes none.
func (process *Process) Signal(signal syscall.Signal) {
	if process.Running() {
		_ = process.Command.Process.Signal(signal)
	}
}

// start runs the program in a role. Only this process is ended at the test's end.
func (process *Process) start(t *testing.T, binary, role, settings string) {
	t.Helper()

	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))

	output, err := exec.CommandContext(t.Context(), binary, "check", role, path).CombinedOutput() //nolint:gosec // The program was built by the test.
	require.NoError(t, err, string(output))

	process.Ended = make(chan struct{})
	process.Command = exec.CommandContext(context.Background(), binary, role, "--settings", path) //nolint:gosec // See above.
	pipe, err := process.Command.StdoutPipe()
	require.NoError(t, err)

	process.Command.Stderr = process.Command.Stdout
	require.NoError(t, process.Command.Start())

	go func() {
		scanner := bufio.NewScanner(pipe)
		for scanner.Scan() {
			process.mutex.Lock()
			process.lines = append(process.lines, scanner.Text())
			process.mutex.Unlock()
		}

		// How it ended is the story's business.
		_ = process.Command.Wait()

		close(process.Ended)
	}()

	t.Cleanup(func() {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGKILL)
		<-process.Ended

		if t.Failed() {
			t.Log(process.Name + ":\n" + strings.Join(process.Lines(), "\n"))
		}
	})
}
