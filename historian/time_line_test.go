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

// testDeployment is a deployment of real processes whose logs are searched.
type testDeployment struct {
	*deployer.Deployment
}

// timeLine follows docs/OPERATIONS.md: it writes the logs of the processes to
// files and runs the timeline command on them with the given flags.
func (deployment *testDeployment) timeLine(flags []string) string {
	arguments := append([]string{"timeline"}, flags...)
	folder := deployment.T.TempDir()

	for name, gateway := range deployment.Gateways {
		path := filepath.Join(folder, name+".log")
		require.NoError(deployment.T, os.WriteFile(path, []byte(strings.Join(gateway.Lines(), "\n")), 0o600))

		arguments = append(arguments, "--log", path)
	}

	out := &bytes.Buffer{}
	commander.NewCommander(out, out).Run(deployment.T.Context(), arguments)

	return out.String()
}

// requireTimeLine waits until the command's output contains all parts, because a
// process may log a request shortly after it has answered.
func (deployment *testDeployment) requireTimeLine(flags, parts []string) {
	missing := parts
	output := ""

	for until := time.Now().Add(deployer.ConditionTimeout); len(missing) > 0 && time.Now().Before(until); kernel.Pause(deployment.T.Context(), 20*time.Millisecond) {
		output = deployment.timeLine(flags)
		missing = slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return strings.Contains(output, part) })
	}

	require.Empty(deployment.T, missing, output)
}

// setFaults sets the faults of all backend servers.
func (deployment *testDeployment) setFaults(faults emulator.EventFaults) {
	for _, server := range deployment.Servers {
		server.SetFaults(faults)
	}
}

// The timeline command shows the cause of a failure, given the ID of the request
// or job and the logs of the processes.
func TestTimeLineCommandShowsCauseOfFailure(t *testing.T) {
	for name, scenario := range map[string]struct {
		// provoke causes the failure and returns the flags for the command.
		provoke func(deployment *testDeployment) []string
		expect  []string
	}{
		"a stream breaks off and is not resumed": {
			func(deployment *testDeployment) []string {
				gateway := deployment.StartGateway("gateway-1")
				deployment.setFaults(emulator.EventFaults{BreakAfter: 7})

				// A single broken answer doesn't change a server's health state;
				// several do.
				for number := range 12 {
					answer := deployer.NewCaller(gateway).RequestStream(deployment.T.Context(), "/once/x", fmt.Sprintf("r-%d", number))
					require.True(deployment.T, answer.Err != nil || answer.Status != http.StatusOK)
				}

				return []string{"--request", "r-1", "--around", "5s"}
			},
			[]string{`Outcome="Broken"`, `Events="7"`, `Repeatable="false"`, "Health state of a backend server changed.", `Observation="Broken"`, "unexpected EOF"},
		},
		"a request is refused because no place is free": {
			func(deployment *testDeployment) []string {
				gateway := deployment.StartGateway("gateway-1")
				deployment.setFaults(emulator.EventFaults{SlowFactor: 10})

				refused, mutex, running := "", sync.Mutex{}, sync.WaitGroup{}
				for number := range 3*8 + 20 {
					running.Go(func() {
						id := fmt.Sprintf("r-%d", number)
						if deployer.NewCaller(gateway).RequestStream(deployment.T.Context(), "/once/x", id).Status == http.StatusServiceUnavailable {
							mutex.Lock()
							defer mutex.Unlock()

							refused = id
						}
					})
				}

				running.Wait()
				require.NotEmpty(deployment.T, refused)

				return []string{"--request", refused}
			},
			[]string{"No place for a request.", `Free="0"`, "Forecast=", "Queued=", `Sent="0"`, `Outcome="Refused"`, "RetryAfter="},
		},
		"a job is late": {
			func(deployment *testDeployment) []string {
				gateway := deployment.StartGateway("gateway-1")
				deployment.setFaults(emulator.EventFaults{StallAfter: 5})
				require.Equal(deployment.T, http.StatusAccepted, deployer.NewCaller(gateway).SubmitJob(deployment.T.Context(), "/hasty/", "job-1", 1))
				deployment.Eventually(func() bool { return gateway.HasLogged("Backend server is silent; another one is sent the item.") }, "a server is found to be silent")
				deployment.setFaults(emulator.EventFaults{})
				deployment.Eventually(func() bool { return deployment.CompletedItems(gateway, "job-1") == 1 }, "the job is done")

				return []string{"--job", "job-1", "--around", "2s"}
			},
			[]string{"Job was submitted.", `Owner="gateway-1#`, "Backend server is silent; another one is sent the item.", `After="4"`, `Other="i-`, `Late="true"`},
		},
		"a request exceeds its deadline": {
			func(deployment *testDeployment) []string {
				gateway := deployment.StartGateway("gateway-1")
				deployment.setFaults(emulator.EventFaults{NeverAnswer: true})
				require.Equal(deployment.T, http.StatusGatewayTimeout, deployer.NewCaller(gateway).RequestStream(deployment.T.Context(), "/once/x", "r-1").Status)

				return []string{"--request", "r-1"}
			},
			[]string{`Outcome="TimedOut"`, `Attempts="1"`, `Events="0"`, `Allowed="4.99`},
		},
		"a request arrives before the first configuration": {
			func(deployment *testDeployment) []string {
				deployment.Store.Catalog.Faults.Set(emulator.FaultSwitches{Outage: true})

				gateway := deployment.LaunchGateway("gateway-1")
				deployment.Eventually(func() bool { return gateway.HasLogged("Serving.") }, "the gateway listens")
				require.Equal(deployment.T, http.StatusServiceUnavailable, deployer.NewCaller(gateway).RequestStream(deployment.T.Context(), "/once/x", "r-1").Status)
				deployment.Eventually(func() bool { return gateway.HasLogged("Watch is lost") }, "the outage is noticed")

				return []string{"--request", "r-1", "--around", "5s"}
			},
			[]string{"Request refused because no configuration is loaded yet.", "Watch is lost", "Serving."},
		},
		"the owner of a job is killed": {
			func(deployment *testDeployment) []string {
				first, second := deployment.StartGateway("gateway-1"), deployment.StartGateway("gateway-2")
				deployment.setFaults(emulator.EventFaults{SlowFactor: 4})
				require.Equal(deployment.T, http.StatusAccepted, deployer.NewCaller(first).SubmitJob(deployment.T.Context(), "/hasty/", "job-1", 2))
				deployment.Eventually(func() bool {
					return deployment.Servers[0].InFlight()+deployment.Servers[1].InFlight()+deployment.Servers[2].InFlight() > 0
				}, "an item runs")
				// The second entry must have received reports from the first to log
				// that they stopped.
				deployment.Eventually(func() bool { return second.HasLogged("Load reports from another entry started to arrive.") }, "the second entry receives load reports from the first")
				deployment.StopProcess(first, syscall.SIGKILL)
				deployment.Eventually(func() bool { return deployment.CompletedItems(second, "job-1") == 2 }, "the job is done")

				return []string{"--job", "job-1", "--around", "5s"}
			},
			[]string{`Owner="gateway-1#`, "Load reports from another entry stopped.", `Members="1"`, "gateway-2", "Job was taken over.", `Late="true"`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			deployment := &testDeployment{Deployment: deployer.NewDeployment(t)}
			deployment.requireTimeLine(scenario.provoke(deployment), scenario.expect)
		})
	}
}
