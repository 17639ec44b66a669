package deployer

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Process is a running gateway or holder.
type Process struct {
	Name    string
	Command *exec.Cmd
	// CallerAddress is where callers connect, and ReadyAddress where the readiness check is
	// served. Both are empty for a holder.
	CallerAddress string
	ReadyAddress  string
	// OperationsAddress is where the process serves its status to operators.
	OperationsAddress string
	// DataFolder is where a holder stores its data; empty for a gateway.
	DataFolder string
	// StoreLink is the link through which this process connects to the store.
	StoreLink *Link
	// Ended is closed when the process has exited.
	Ended chan struct{}

	mutex sync.Mutex
	lines []string
}

// HasLogged reports whether a log line of the process contains the text.
func (process *Process) HasLogged(text string) bool {
	return slices.ContainsFunc(process.Lines(), func(line string) bool { return strings.Contains(line, text) })
}

// Lines returns the process's log lines so far.
func (process *Process) Lines() []string {
	process.mutex.Lock()
	defer process.mutex.Unlock()

	return slices.Clone(process.lines)
}

// IsRunning reports whether the process has not exited yet.
func (process *Process) IsRunning() bool {
	select {
	case <-process.Ended:
		return false
	default:
		return true
	}
}

// SmallestMachine is the memory of the smallest machines of the users' sites, in megabytes.
const SmallestMachine = 284

// PeakMemory returns the largest resident size of the process so far, in megabytes.
func (process *Process) PeakMemory(t *testing.T) int {
	t.Helper()

	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Command.Process.Pid))
	require.NoError(t, err)

	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(peak)[0])
	require.NoError(t, err)

	return kilobytes >> 10
}

// Signal sends a signal to the process, unless it has exited.
func (process *Process) Signal(signal syscall.Signal) {
	if process.IsRunning() {
		_ = process.Command.Process.Signal(signal)
	}
}

// start checks the settings and starts the program in a role. The end of the test
// kills this process only.
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

		// The test decides whether the process should have exited.
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
