package emulator

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// EventHeaders are the names under which an EventServer speaks.
type EventHeaders struct {
	RequestID string
	// Expect is the ID of the server that a request is for.
	Expect string
	// NotRun says that a request has not run.
	NotRun string
	// Server is the ID of the server that answers.
	Server string
	// Stamp signs answers.
	Stamp string
	// Leaving is 1 in all answers of a server that leaves.
	Leaving string
	// Deadline is how many milliseconds the caller waits; empty for a protocol
	// that does not say so.
	Deadline string
}

// EventFaults are how an EventServer misbehaves.
type EventFaults struct {
	// Dark servers accept requests and say nothing.
	Dark bool
	// BreakAfter cuts streams after that many events; 0 for never.
	BreakAfter int
	// BreakWithin cuts the stream in the middle of the event after those.
	BreakWithin bool
	// StallAfter goes silent after that many events; 0 for never.
	StallAfter int
	// Trickle makes a stalled stream send a byte of an event each time; 0 for
	// nothing.
	Trickle time.Duration
	// Fail answers with that status; 0 for none.
	Fail int
	// SkipEvent leaves out the event with that number; 0 for none.
	SkipEvent int
	// Leaving says in each answer that the server leaves.
	Leaving bool
	// Slow multiplies the times of its answers; 0 for not.
	Slow int
}

// EventServer stands in for a backend server that answers with events, or with
// a body where Events is 0. It runs Places requests at once and queues the
// others.
type EventServer struct {
	ID      string
	Headers EventHeaders
	// Places are how many requests run at once, and Queue how many wait.
	Places int
	Queue  int
	// First is the time to the first event, Gap that between two.
	First  time.Duration
	Gap    time.Duration
	Events int

	mutex   sync.Mutex
	faults  EventFaults
	waiting int
	// started counts the requests that began to run, by ID.
	started map[string]int
	// resumed holds the event after which each run of a request began, by ID.
	resumed map[string][]int
	most    int
	free    chan struct{}
}

// DefaultEventHeaders are names for tests that need no platform.
func DefaultEventHeaders() EventHeaders {
	return EventHeaders{RequestID: "Request-Id", Expect: "Expect-Server", NotRun: "Not-Run", Server: "Server-Id", Stamp: "Stamp", Leaving: "Leaving"}
}

// PlatformEventHeaders are the names of the platform's protocol.
func PlatformEventHeaders() EventHeaders {
	return EventHeaders{
		RequestID: "X-Limpetrail-Attempt-Id", Expect: "X-Limpetrail-Expect-Instance", NotRun: "X-Limpetrail-Not-Executed",
		Server: "X-Limpetrail-Instance-Id", Stamp: "X-Limpetrail-Response-Stamp", Deadline: "X-Limpetrail-Deadline-Ms",
		Leaving: "Server-Leaving",
	}
}

// NewEventServer returns a server with eight places.
func NewEventServer(id string, headers EventHeaders) *EventServer {
	const (
		places = 8
		queue  = 24
	)

	return &EventServer{
		ID: id, Headers: headers, Places: places, Queue: queue,
		First: 30 * time.Millisecond, Gap: 25 * time.Millisecond, Events: 20,
		started: map[string]int{}, resumed: map[string][]int{}, free: make(chan struct{}, places),
	}
}

// Set replaces the faults.
func (server *EventServer) Set(faults EventFaults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.faults = faults
}

func (server *EventServer) leaves() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.faults.Leaving
}

// Started returns how often a request began to run.
func (server *EventServer) Started(id string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.started[id]
}

// Resumed returns the events after which the runs of a request began.
func (server *EventServer) Resumed(id string) []int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return append([]int{}, server.resumed[id]...)
}

// Running returns how many requests run or wait.
func (server *EventServer) Running() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.waiting
}

// Total returns how many requests began to run.
func (server *EventServer) Total() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	total := 0
	for _, count := range server.started {
		total += count
	}

	return total
}

// Runs returns how often each request began to run, by ID.
func (server *EventServer) Runs() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return maps.Clone(server.started)
}

// Most returns the most requests that ran or waited at one time.
func (server *EventServer) Most() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.most
}

// ServeHTTP implements http.Handler.
func (server *EventServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	// The server notices that a caller left only once it has read the body.
	_, _ = io.Copy(io.Discard, request.Body)

	id := request.Header.Get(server.Headers.RequestID)
	writer.Header().Set(server.Headers.RequestID, id)
	writer.Header().Set(server.Headers.Server, server.ID)

	if server.leaves() {
		writer.Header().Set(server.Headers.Leaving, "1")
	}

	if expected := request.Header.Get(server.Headers.Expect); expected != "" && expected != server.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if !server.enter(request) {
		writer.Header().Set(server.Headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer server.leave()

	after := -1
	if given, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		after = given
	}

	faults := server.start(id, after)

	if faults.Dark {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}

	writer.Header().Set(server.Headers.Stamp, server.ID)

	if faults.Fail != 0 {
		writer.WriteHeader(faults.Fail)

		return
	}

	if server.Events == 0 {
		pauseFor(request, server.slowed(faults, server.First))
		fmt.Fprintf(writer, "answer to %s", id) //nolint:gosec // A stand-in shows no page.

		return
	}

	server.stream(writer, request, faults, after)
}

func (server *EventServer) stream(writer http.ResponseWriter, request *http.Request, faults EventFaults, after int) {
	writer.Header().Set("Content-Type", "text/event-stream")

	control := http.NewResponseController(writer)
	pauseFor(request, server.slowed(faults, server.First))

	for number := after + 1; number < server.Events; number++ {
		made := number - after - 1
		if faults.BreakAfter > 0 && made == faults.BreakAfter {
			if faults.BreakWithin {
				fmt.Fprintf(writer, "id: %d\nda", number)

				_ = control.Flush()
			}

			panic(http.ErrAbortHandler)
		}

		if faults.StallAfter > 0 && made == faults.StallAfter {
			trickle(writer, request, faults.Trickle)
			panic(http.ErrAbortHandler)
		}

		if faults.SkipEvent == 0 || number != faults.SkipEvent {
			fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, EventText(number))
		}

		if control.Flush() != nil {
			return
		}

		if !pauseFor(request, server.slowed(faults, server.Gap)) {
			panic(http.ErrAbortHandler)
		}
	}
}

// trickle sends a byte of an event now and then, and never its end, until the
// caller leaves.
func trickle(writer http.ResponseWriter, request *http.Request, interval time.Duration) {
	control := http.NewResponseController(writer)

	for interval > 0 && pauseFor(request, interval) {
		if _, err := io.WriteString(writer, "d"); err != nil {
			return
		}

		_ = control.Flush()
	}

	<-request.Context().Done()
}

// EventText is the data of an event.
func EventText(number int) string {
	return "event-" + strconv.Itoa(number)
}

func (server *EventServer) slowed(faults EventFaults, duration time.Duration) time.Duration {
	return duration * time.Duration(max(1, faults.Slow))
}

// enter waits for a place. It returns false if the queue is full.
func (server *EventServer) enter(request *http.Request) bool {
	server.mutex.Lock()

	if server.waiting >= server.Places+server.Queue {
		server.mutex.Unlock()

		return false
	}

	server.waiting++
	server.most = max(server.most, server.waiting)
	server.mutex.Unlock()

	select {
	case server.free <- struct{}{}:
		return true
	case <-request.Context().Done():
		server.mutex.Lock()
		server.waiting--
		server.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (server *EventServer) leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.waiting--
	<-server.free
}

func (server *EventServer) start(id string, after int) EventFaults {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.started[id]++
	server.resumed[id] = append(server.resumed[id], after)

	return server.faults
}

// pauseFor waits, and tells whether the caller is still there.
func pauseFor(request *http.Request, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-request.Context().Done():
		return false
	}
}
