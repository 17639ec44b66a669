package custodian_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

// fakeKeyValue stands for the key-value service. It counts the jobs that custodians
// create.
type fakeKeyValue struct {
	mutex       sync.Mutex
	unavailable bool
	created     map[string]int
	// rejected is the ID of a job that can never be created.
	rejected string
}

func (service *fakeKeyValue) create(_ context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	if service.unavailable {
		return bookkeeper.NotDone
	}

	if job.ID == service.rejected {
		service.created[job.ID]++

		return bookkeeper.Rejected
	}

	service.created[job.ID]++

	return bookkeeper.OK
}

func (service *fakeKeyValue) setAvailable() {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	service.unavailable = false
}

func (service *fakeKeyValue) createCount(id string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	return service.created[id]
}

// disk is a folder and the custodian that holds jobs in it.
type disk struct {
	path   string
	holder *custodian.Custodian
	stop   context.CancelFunc
	done   chan struct{}
}

func (disk *disk) start(t *testing.T, service *fakeKeyValue) {
	t.Helper()

	folder, err := archiver.NewFolder(disk.path, 0)
	require.NoError(t, err)

	disk.holder, err = custodian.NewCustodian(kernel.NewDiscardCommon("holder"), folder, time.Hour, service.create)
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	disk.stop, disk.done = cancel, make(chan struct{})

	go func() {
		disk.holder.Run(ctx)
		close(disk.done)
	}()

	t.Cleanup(disk.stopAndWait)
}

func (disk *disk) stopAndWait() {
	disk.stop()
	<-disk.done
}

func newJob(id string) bookkeeper.Job {
	return bookkeeper.Job{ID: id, Host: "host", Items: []bookkeeper.Item{{ID: "1", Body: []byte{0, 1, 255}}}, Submitted: time.Now()}
}

// A held job survives a restart of the custodian. It is delivered once, when the
// key-value service is available again, and its file is deleted.
func TestHeldJobIsDelivered(t *testing.T) {
	service := &fakeKeyValue{unavailable: true, created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	require.NoError(t, disk.holder.Accept(newJob("a")))
	require.NoError(t, disk.holder.Accept(newJob("a")))
	require.True(t, disk.holder.Holds("a"))

	disk.stopAndWait()
	disk.start(t, service)
	require.True(t, disk.holder.Holds("a"))
	require.Zero(t, service.createCount("a"))

	service.setAvailable()
	require.Eventually(t, disk.holder.IsEmpty, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, service.createCount("a"))

	disk.stopAndWait()
	disk.start(t, service)
	require.True(t, disk.holder.IsEmpty(), "a delivered job is no longer held after a restart")
}

// A job older than the maximum age is not created: the key-value service may have had
// and removed it.
func TestOldJobIsNotCreated(t *testing.T) {
	service := &fakeKeyValue{created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	old := newJob("a")
	old.Submitted = time.Now().Add(-2 * time.Hour)

	require.NoError(t, disk.holder.Accept(old))
	require.Eventually(t, disk.holder.IsEmpty, 10*time.Second, time.Millisecond)
	require.Zero(t, service.createCount("a"))
}

// A custodian that is leaving rejects new jobs, and still delivers those that it holds.
func TestLeavingCustodianRejectsJobs(t *testing.T) {
	service := &fakeKeyValue{unavailable: true, created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	require.NoError(t, disk.holder.Accept(newJob("a")))
	disk.holder.StopAccepting()
	require.Error(t, disk.holder.Accept(newJob("b")))
	require.False(t, disk.holder.IsEmpty())

	service.setAvailable()
	require.Eventually(t, disk.holder.IsEmpty, 10*time.Second, time.Millisecond)
}

// Two custodians must hold a job for its deposit to succeed. Each scenario has the
// states of the known custodians and the expected outcome.
func TestDepositOutcome(t *testing.T) {
	const (
		accepts = iota
		rejects
		unreachable
	)

	for name, scenario := range map[string]struct {
		states  []int
		outcome bookkeeper.Outcome
	}{
		"all accept":                          {[]int{accepts, accepts, accepts}, bookkeeper.OK},
		"one rejects":                         {[]int{accepts, rejects, accepts}, bookkeeper.OK},
		"one is unreachable":                  {[]int{unreachable, accepts, accepts}, bookkeeper.OK},
		"only one holds it":                   {[]int{unreachable, accepts, unreachable}, bookkeeper.Unknown},
		"one rejects, others are unreachable": {[]int{unreachable, rejects, unreachable}, bookkeeper.Unknown},
		"all are unreachable":                 {[]int{unreachable, unreachable, unreachable}, bookkeeper.NotDone},
		"too few are known":                   {[]int{accepts}, bookkeeper.NotDone},
		"one holds it, one rejects":           {[]int{accepts, rejects, unreachable}, bookkeeper.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			service := &fakeKeyValue{unavailable: true, created: map[string]int{}}
			depositor := custodian.NewDepositor(kernel.NewDiscardCommon("entry"), 2)
			addresses := map[string]string{}

			for index, state := range scenario.states {
				disk := &disk{path: t.TempDir()}
				disk.start(t, service)

				if state == rejects {
					disk.holder.StopAccepting()
				}

				mux := http.NewServeMux()
				disk.holder.Register(mux)

				server := httptest.NewServer(mux)
				t.Cleanup(server.Close)

				if state == unreachable {
					server.Close()
				}

				addresses[string(rune('a'+index))] = strings.TrimPrefix(server.URL, "http://")
			}

			depositor.SetCustodians(addresses)
			require.Equal(t, scenario.outcome, depositor.Deposit(t.Context(), newJob("x")))

			if scenario.outcome == bookkeeper.OK {
				found, _ := depositor.HasJob(t.Context(), "x", bookkeeper.Reader{})
				require.True(t, found)
			}

			found, complete := depositor.HasJob(t.Context(), "other", bookkeeper.Reader{})
			require.False(t, found)
			// With fewer custodians than hold each job, another one may hold it.
			require.Equal(t, !contains(scenario.states, unreachable) && len(scenario.states) >= 2, complete)
		})
	}
}

// A process that answered 200 before it had received a job, and reset the connection, counted as a
// custodian that holds the job.
func TestDepositAnsweredBeforeItWasReceived(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	go emulator.EarlyServer{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Delay: 50 * time.Millisecond}.Serve(listener)

	depositor := custodian.NewDepositor(kernel.NewDiscardCommon("entry"), 2)
	depositor.SetCustodians(map[string]string{"a": listener.Addr().String(), "b": listener.Addr().String()})

	// The system's buffers do not hold the job.
	job := newJob("x")
	job.Items[0].Body = make([]byte, 16_000_000)
	require.Equal(t, bookkeeper.Unknown, depositor.Deposit(t.Context(), job))
}

func contains(states []int, wanted int) bool {
	for _, state := range states {
		if state == wanted {
			return true
		}
	}

	return false
}

// A custodian rejects new jobs while its disk is full and keeps those that it holds. It
// accepts jobs again, without a restart, once deliveries have freed space.
func TestFullDiskRejectsJobs(t *testing.T) {
	service := &fakeKeyValue{unavailable: true, created: map[string]int{}}
	folder, err := archiver.NewFolder(t.TempDir(), 600)
	require.NoError(t, err)

	holder, err := custodian.NewCustodian(kernel.NewDiscardCommon("holder"), folder, time.Hour, service.create)
	require.NoError(t, err)

	large := newJob("large")
	large.Items[0].Body = make([]byte, 300)

	require.NoError(t, holder.Accept(large))
	require.Error(t, holder.Accept(newJob("late")))
	require.False(t, holder.Holds("late"), "a rejected job is not held")
	require.True(t, holder.Holds("large"))

	ctx, cancel := context.WithCancel(t.Context())
	running := sync.WaitGroup{}
	running.Go(func() { holder.Run(ctx) })

	service.setAvailable()
	require.Eventually(t, holder.IsEmpty, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, service.createCount("large"))
	require.Zero(t, service.createCount("late"))
	require.NoError(t, holder.Accept(newJob("late")))

	cancel()
	running.Wait()
}

// A held job that the key-value service rejects ended each round of deliveries, so that the jobs
// after it were not delivered either.
func TestRejectedJobKeepsNoOtherJobsFromDelivery(t *testing.T) {
	service := &fakeKeyValue{created: map[string]int{}, unavailable: true, rejected: "job-0"}
	holder := &disk{path: t.TempDir()}
	holder.start(t, service)

	const jobs = 40

	for number := range jobs {
		require.NoError(t, holder.holder.Accept(newJob("job-"+strconv.Itoa(number))))
	}

	service.setAvailable()

	for number := 1; number < jobs; number++ {
		id := "job-" + strconv.Itoa(number)
		require.Eventually(t, func() bool { return service.createCount(id) == 1 }, 5*time.Second, time.Millisecond)
	}

	// The job is offered in one round, and all others are delivered in it and the next one.
	require.LessOrEqual(t, service.createCount("job-0"), 2)
	require.True(t, holder.holder.Holds("job-0"), "an accepted job is kept")
}
