package custodian_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/kernel"
)

// service is where custodians bring jobs.
type service struct {
	mutex   sync.Mutex
	away    bool
	created map[string]int
}

func (service *service) create(_ context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	if service.away {
		return bookkeeper.NotDone
	}

	service.created[job.ID]++

	return bookkeeper.OK
}

func (service *service) set(away bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	service.away = away
}

func (service *service) count(id string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	return service.created[id]
}

// disk is a folder and the custodian that runs on it.
type disk struct {
	path string
	made *custodian.Custodian
	stop context.CancelFunc
	done chan struct{}
}

func (disk *disk) start(t *testing.T, service *service) {
	t.Helper()

	folder, err := archiver.NewFolder(disk.path, 0)
	require.NoError(t, err)

	disk.made, err = custodian.NewCustodian(kernel.Discard("holder"), folder, time.Hour, service.create)
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	disk.stop, disk.done = cancel, make(chan struct{})

	go func() {
		disk.made.Run(ctx)
		close(disk.done)
	}()

	t.Cleanup(disk.end)
}

func (disk *disk) end() {
	disk.stop()
	<-disk.done
}

func job(id string) bookkeeper.Job {
	return bookkeeper.Job{ID: id, Host: "host", Items: []bookkeeper.Item{{ID: "1", Body: []byte{0, 1, 255}}}, Submitted: time.Now()}
}

// An accepted job survives its process and reaches the service once that is back.
func TestHeldJobIsDelivered(t *testing.T) {
	service := &service{away: true, created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	require.NoError(t, disk.made.Accept(job("a")))
	require.NoError(t, disk.made.Accept(job("a")))
	require.True(t, disk.made.Holds("a"))

	disk.end()
	disk.start(t, service)
	require.True(t, disk.made.Holds("a"))
	require.Zero(t, service.count("a"))

	service.set(false)
	require.Eventually(t, disk.made.Empty, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, service.count("a"))

	disk.end()
	disk.start(t, service)
	require.True(t, disk.made.Empty(), "a delivered job leaves nothing behind")
}

// A job that is older than its life is not created again: the service had it
// and has removed it.
func TestOldJobIsNotCreated(t *testing.T) {
	service := &service{created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	old := job("a")
	old.Submitted = time.Now().Add(-2 * time.Hour)

	require.NoError(t, disk.made.Accept(old))
	require.Eventually(t, disk.made.Empty, 10*time.Second, time.Millisecond)
	require.Zero(t, service.count("a"))
}

// A custodian that is to be emptied accepts nothing more.
func TestLeavingCustodianAcceptsNothing(t *testing.T) {
	service := &service{away: true, created: map[string]int{}}
	disk := &disk{path: t.TempDir()}
	disk.start(t, service)

	require.NoError(t, disk.made.Accept(job("a")))
	disk.made.Leave()
	require.Error(t, disk.made.Accept(job("b")))
	require.False(t, disk.made.Empty())

	service.set(false)
	require.Eventually(t, disk.made.Empty, 10*time.Second, time.Millisecond)
}

// Each scenario has three custodians, of which two must hold a job, and says
// what may be told of it.
func TestDepositIsAcceptedByEnoughCustodians(t *testing.T) {
	const (
		works = iota
		refuses
		gone
	)

	for name, scenario := range map[string]struct {
		states  []int
		outcome bookkeeper.Outcome
	}{
		"all work":                {[]int{works, works, works}, bookkeeper.OK},
		"one refuses":             {[]int{works, refuses, works}, bookkeeper.OK},
		"one is gone":             {[]int{gone, works, works}, bookkeeper.OK},
		"one holds it":            {[]int{gone, works, gone}, bookkeeper.Unknown},
		"one may hold it":         {[]int{gone, refuses, gone}, bookkeeper.Unknown},
		"nobody can be reached":   {[]int{gone, gone, gone}, bookkeeper.NotDone},
		"too few are known":       {[]int{works}, bookkeeper.NotDone},
		"one holds it, one fails": {[]int{works, refuses, gone}, bookkeeper.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			service := &service{away: true, created: map[string]int{}}
			depositor := custodian.NewDepositor(kernel.Discard("entry"), 2)
			addresses := map[string]string{}

			for index, state := range scenario.states {
				disk := &disk{path: t.TempDir()}
				disk.start(t, service)

				if state == refuses {
					disk.made.Leave()
				}

				mux := http.NewServeMux()
				disk.made.Register(mux)

				server := httptest.NewServer(mux)
				t.Cleanup(server.Close)

				if state == gone {
					server.Close()
				}

				addresses[string(rune('a'+index))] = strings.TrimPrefix(server.URL, "http://")
			}

			depositor.SetCustodians(addresses)
			require.Equal(t, scenario.outcome, depositor.Deposit(t.Context(), job("x")))

			if scenario.outcome == bookkeeper.OK {
				held, _ := depositor.HasJob(t.Context(), "x")
				require.True(t, held)
			}

			held, sure := depositor.HasJob(t.Context(), "other")
			require.False(t, held)
			require.Equal(t, !contains(scenario.states, gone), sure)
		})
	}
}

func contains(states []int, wanted int) bool {
	for _, state := range states {
		if state == wanted {
			return true
		}
	}

	return false
}

// A full disk refuses new jobs, keeps what it has, and takes jobs again once there is
// room, without a restart.
func TestFullDisk(t *testing.T) {
	service := &service{away: true, created: map[string]int{}}
	folder, err := archiver.NewFolder(t.TempDir(), 600)
	require.NoError(t, err)

	made, err := custodian.NewCustodian(kernel.Discard("holder"), folder, time.Hour, service.create)
	require.NoError(t, err)

	large := job("large")
	large.Items[0].Body = make([]byte, 300)

	require.NoError(t, made.Accept(large))
	require.Error(t, made.Accept(job("late")))
	require.False(t, made.Holds("late"), "what was refused is not held")
	require.True(t, made.Holds("large"))

	ctx, cancel := context.WithCancel(t.Context())
	running := sync.WaitGroup{}
	running.Go(func() { made.Run(ctx) })

	service.set(false)
	require.Eventually(t, made.Empty, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, service.count("large"))
	require.Zero(t, service.count("late"))
	require.NoError(t, made.Accept(job("late")))

	cancel()
	running.Wait()
}
