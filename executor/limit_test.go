package executor

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
	"limpetrail/driver"
	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/messenger"
)

// limitedBackend counts the requests that reach a backend server, which names a limit in its
// answers.
type limitedBackend struct {
	http.Handler

	mutex    sync.Mutex
	limit    float64
	arrivals []time.Time
}

func (backend *limitedBackend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	backend.mutex.Lock()
	backend.arrivals = append(backend.arrivals, time.Now())

	if backend.limit > 0 {
		writer.Header().Set(driver.LimitHeader, strconv.FormatFloat(backend.limit, 'f', -1, 64))
	}

	backend.mutex.Unlock()
	backend.Handler.ServeHTTP(writer, request)
}

func (backend *limitedBackend) setLimit(limit float64) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()

	backend.limit = limit
}

// most returns the most arrivals in four seconds after a time.
func (backend *limitedBackend) most(after time.Time) int {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()

	most := 0

	for index, arrived := range backend.arrivals {
		if arrived.Before(after) {
			continue
		}

		most = max(most, len(slices.DeleteFunc(slices.Clone(backend.arrivals[index:]), func(other time.Time) bool { return other.Sub(arrived) >= 4*time.Second })))
	}

	return most
}

// limitFixture is a sidecar before a limited engine.
type limitFixture struct {
	t        *testing.T
	engine   *driver.HTTPEngine
	executor *Executor
	runs     []*Run
}

// submit submits ten requests a second. With orders, one in ten is followed by an order.
func (fixture *limitFixture) submit(count int, class messenger.Class, orders bool) {
	for range count {
		request := generationRequest(fixture.executor, true)
		request.RequestId, request.Class = fmt.Sprint("request-", len(fixture.runs)), class

		run, err := fixture.executor.Submit(request)
		require.NoError(fixture.t, err)

		fixture.runs = append(fixture.runs, run)

		if orders && len(fixture.runs)%10 == 0 {
			require.NoError(fixture.t, fixture.engine.Order(fixture.t.Context(), driver.Order{Verb: driver.VerbLoad, Model: "m", Version: "1"}))
		}

		time.Sleep(100 * time.Millisecond)
	}
}

// refused returns how many runs were refused, and requires that all of these say when to retry.
func (fixture *limitFixture) refused() int {
	refused := 0

	for _, run := range fixture.runs {
		if fate, _ := run.Fate(); fate == messenger.Fate_FATE_NOT_RUN {
			_, last, _ := run.EventsAfter(0)
			require.Positive(fixture.t, last.GetRetryAfterMicros())

			refused++
		}
	}

	return refused
}

// A sidecar sent a server in need all that its entries asked for.
func TestSidecarSendsMoreThanItsServersLimit(t *testing.T) {
	const limit = 2.5

	for name, scenario := range map[string]struct {
		class  messenger.Class
		orders bool
	}{
		"online requests":            {},
		"batch items":                {class: messenger.Class_CLASS_BATCH},
		"online requests and orders": {orders: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := emulator.NewEngine()
				go engine.Run(t.Context())

				backend := &limitedBackend{Handler: emulator.NewEngineHandler(engine), limit: limit}
				_, connect := httpBackend(t, backend)
				fixture := &limitFixture{t: t, engine: driver.NewHTTPEngine("backend:1")}
				connect(fixture.engine.Client)

				fixture.executor = NewExecutor(t.Context(), kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(64), WithEngine(fixture.engine))
				started := time.Now()

				fixture.submit(200, scenario.class, scenario.orders)
				require.LessOrEqual(t, float64(backend.most(started.Add(3*time.Second))), 1.5*4*limit+5)
				// Online requests are refused at once, so that they can run elsewhere; items wait.
				require.Equal(t, scenario.class != messenger.Class_CLASS_BATCH, fixture.refused() > 100)

				backend.setLimit(0)
				fixture.executor.Wait()
				time.Sleep(time.Minute)

				// The next answer lifts the limit.
				fixture.submit(1, scenario.class, false)
				fixture.executor.Wait()

				refused := fixture.refused()

				fixture.submit(20, scenario.class, false)
				fixture.executor.Wait()
				require.Equal(t, refused, fixture.refused())
			})
		})
	}
}

// An item that waited for its turn started at the backend server of a sidecar that was leaving,
// long after the last moment for that.
func TestItemStartsAtALeavingSidecarAfterItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine()
		go engine.Run(t.Context())

		// One request in four seconds.
		backend := &limitedBackend{Handler: emulator.NewEngineHandler(engine), limit: 0.25}
		_, connect := httpBackend(t, backend)
		fixture := &limitFixture{t: t, engine: driver.NewHTTPEngine("backend:1")}
		connect(fixture.engine.Client)

		fixture.executor = NewExecutor(t.Context(), kernel.NewDiscardCommon("sidecar-1"), admitter.NewFixed(64), WithEngine(fixture.engine))
		// The first item's answer names the limit; the second one waits.
		fixture.submit(1, messenger.Class_CLASS_BATCH, false)
		time.Sleep(time.Second)
		fixture.submit(1, messenger.Class_CLASS_BATCH, false)
		fixture.executor.Drain()
		fixture.executor.Wait()

		fate, _ := fixture.runs[1].Fate()
		require.Equal(t, messenger.Fate_FATE_NOT_RUN, fate)
		require.Len(t, backend.arrivals, 1)
	})
}
