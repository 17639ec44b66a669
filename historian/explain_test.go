package historian_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/commander"
	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

// story is a deployment in which a request fails.
type story struct {
	*deployer.Deployment
}

// explains does what docs/OPERATIONS.md says: it writes what the processes
// printed into files and asks for the time line of an ID.
func (story *story) explains(question []string) string {
	arguments := append([]string{"timeline"}, question...)
	folder := story.T.TempDir()

	for name, gateway := range story.Gateways {
		path := filepath.Join(folder, name+".log")
		require.NoError(story.T, os.WriteFile(path, []byte(strings.Join(gateway.Lines(), "\n")), 0o600))

		arguments = append(arguments, "--log", path)
	}

	out := &bytes.Buffer{}
	commander.NewCommander(out, out).Run(story.T.Context(), arguments)

	return out.String()
}

// expects waits until an explanation has all parts: a process prints its lines a
// little after it answers.
func (story *story) expects(question, parts []string) {
	missing := parts
	told := ""

	for until := time.Now().Add(deployer.ConditionTimeout); len(missing) > 0 && time.Now().Before(until); kernel.Pause(story.T.Context(), 20*time.Millisecond) {
		told = story.explains(question)
		missing = slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return strings.Contains(told, part) })
	}

	require.Empty(story.T, missing, told)
}

// set gives all backend servers the faults.
func (story *story) set(faults emulator.EventFaults) {
	for _, server := range story.Servers {
		server.SetFaults(faults)
	}
}

// The cause of a failed request is found from its ID and what the processes
// printed, by one command.
func TestCausesAreFoundFromLogs(t *testing.T) {
	for name, scenario := range map[string]struct {
		// when makes something fail and returns the question to ask.
		when   func(story *story) []string
		expect []string
	}{
		"a stream breaks off and is not resumed": {
			func(story *story) []string {
				gateway := story.StartGateway("gateway-1")
				story.set(emulator.EventFaults{BreakAfter: 7})

				// One broken answer is no reason to doubt a server; a few are.
				for number := range 12 {
					answer := deployer.NewCaller(gateway).RequestStream(story.T.Context(), "/once/x", fmt.Sprintf("r-%d", number))
					require.True(story.T, answer.Err != nil || answer.Status != http.StatusOK)
				}

				return []string{"--request", "r-1", "--around", "5s"}
			},
			[]string{`Outcome="Broken"`, `Events="7"`, `Repeatable="false"`, "Health state of a backend server changed.", `Observation="Broken"`, "unexpected EOF"},
		},
		"a refusal at the peak": {
			func(story *story) []string {
				gateway := story.StartGateway("gateway-1")
				story.set(emulator.EventFaults{SlowFactor: 10})

				refused, mutex, running := "", sync.Mutex{}, sync.WaitGroup{}
				for number := range 3*8 + 20 {
					running.Go(func() {
						id := fmt.Sprintf("r-%d", number)
						if deployer.NewCaller(gateway).RequestStream(story.T.Context(), "/once/x", id).Status == http.StatusServiceUnavailable {
							mutex.Lock()
							defer mutex.Unlock()

							refused = id
						}
					})
				}

				running.Wait()
				require.NotEmpty(story.T, refused)

				return []string{"--request", refused}
			},
			[]string{"No place for a request.", `Free="0"`, "Forecast=", "Queued=", `Sent="0"`, `Outcome="Refused"`, "RetryAfter="},
		},
		"a job is late": {
			func(story *story) []string {
				gateway := story.StartGateway("gateway-1")
				story.set(emulator.EventFaults{StallAfter: 5})
				require.Equal(story.T, http.StatusAccepted, deployer.NewCaller(gateway).SubmitJob(story.T.Context(), "/hasty/", "job-1", 1))
				story.Eventually(func() bool { return gateway.HasLogged(`Ending="Interrupted"`) }, "an attempt is cut")
				story.set(emulator.EventFaults{})
				story.Eventually(func() bool { return story.CompletedItems(gateway, "job-1") == 1 }, "the job is done")

				return []string{"--job", "job-1", "--around", "2s"}
			},
			[]string{"Job was submitted.", `Owner="gateway-1#`, `Ending="Interrupted"`, "i/o timeout", `Late="true"`},
		},
		"a request whose time ended": {
			func(story *story) []string {
				gateway := story.StartGateway("gateway-1")
				story.set(emulator.EventFaults{NeverAnswer: true})
				require.Equal(story.T, http.StatusGatewayTimeout, deployer.NewCaller(gateway).RequestStream(story.T.Context(), "/once/x", "r-1").Status)

				return []string{"--request", "r-1"}
			},
			[]string{`Outcome="TimedOut"`, `Attempts="1"`, `Events="0"`, `Allowed="4.99`},
		},
		"a request before the first configuration": {
			func(story *story) []string {
				story.Store.Catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

				gateway := story.LaunchGateway("gateway-1")
				story.Eventually(func() bool { return gateway.HasLogged("Serving.") }, "the gateway listens")
				require.Equal(story.T, http.StatusServiceUnavailable, deployer.NewCaller(gateway).RequestStream(story.T.Context(), "/once/x", "r-1").Status)
				story.Eventually(func() bool { return gateway.HasLogged("Watch is lost") }, "the outage is noticed")

				return []string{"--request", "r-1", "--around", "5s"}
			},
			[]string{"there is no configuration yet", "Watch is lost", "Serving."},
		},
		"a job whose owner was killed": {
			func(story *story) []string {
				first, second := story.StartGateway("gateway-1"), story.StartGateway("gateway-2")
				story.set(emulator.EventFaults{SlowFactor: 4})
				require.Equal(story.T, http.StatusAccepted, deployer.NewCaller(first).SubmitJob(story.T.Context(), "/hasty/", "job-1", 2))
				story.Eventually(func() bool {
					return story.Servers[0].InFlight()+story.Servers[1].InFlight()+story.Servers[2].InFlight() > 0
				}, "an item runs")
				// An entry that was never heard is not missed.
				story.Eventually(func() bool { return second.HasLogged("Load reports from another entry started to arrive.") }, "the second entry hears the first")
				story.StopProcess(first, syscall.SIGKILL)
				story.Eventually(func() bool { return story.CompletedItems(second, "job-1") == 2 }, "the job is done")

				return []string{"--job", "job-1", "--around", "5s"}
			},
			[]string{`Owner="gateway-1#`, "Load reports from another entry stopped.", `Members="1"`, "gateway-2", "Job was taken over.", `Late="true"`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			story := &story{Deployment: deployer.NewDeployment(t)}
			story.expects(scenario.when(story), scenario.expect)
		})
	}
}
