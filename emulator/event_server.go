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

// EventHeaders are the header names that an EventServer uses.
type EventHeaders struct {
	RequestID string
	// ExpectedServer holds the ID of the server that a request is meant for.
	ExpectedServer string
	// NotRun marks the answer to a request that has not run.
	NotRun string
	// ServerID holds the ID of the server that answers.
	ServerID string
	// Stamp holds the ID of the server as well, in answers to requests that ran.
	Stamp string
	// Leaving is 1 in all answers of a server that is leaving.
	Leaving string
	// PromptParts lists the parts of the prompt, separated by commas; what follows a colon
	// in a part is ignored.
	PromptParts string
	// Deadline holds how many milliseconds the caller waits; empty for a protocol
	// without such a header.
	Deadline string
}

// EventFaults are the faults that an EventServer injects.
type EventFaults struct {
	// NeverAnswer accepts requests and never answers them.
	NeverAnswer bool
	// BreakAfter closes the connection after that many events; 0 for never.
	BreakAfter int
	// BreakMidEvent closes the connection in the middle of the next event instead.
	BreakMidEvent bool
	// EndProcess ends the server's process there.
	EndProcess bool
	// StallAfter stops sending after that many events and keeps the connection open; 0
	// for never.
	StallAfter int
	// StallFor is how long the server is silent there before it goes on; 0 for ever.
	StallFor time.Duration
	// SilentBeforeHead is how long the server is silent, with its place, before each answer.
	SilentBeforeHead time.Duration
	// Silences draws silences before the events, and before plain bodies; nil for none.
	Silences *Silences
	// TrickleInterval is the interval at which a stalled stream sends one byte of an event
	// that never ends; 0 for none.
	TrickleInterval time.Duration
	// FailStatus is the status of all answers; 0 for normal answers.
	FailStatus int
	// SkipEvent omits the event with that number; 0 for none.
	SkipEvent int
	// Leaving sets the header Leaving in each answer.
	Leaving bool
	// Unframed sends answers with neither a length nor chunks, which end with their
	// connection.
	Unframed bool
	// Padding is appended to the data of each event.
	Padding string
	// SlowFactor multiplies the delays between events; 0 for normal speed.
	SlowFactor int
}

// EventServer emulates a backend server that answers with events, or with a plain body
// if EventCount is 0. It runs up to Places requests at once and queues the others.
type EventServer struct {
	ID      string
	Headers EventHeaders
	// Places is the number of requests that run at once, and QueueLimit the number that
	// may wait.
	Places     int
	QueueLimit int
	// FirstEventDelay is the time to the first event, and EventInterval the time between
	// two events. EventCount is the number of events in an answer.
	FirstEventDelay time.Duration
	EventInterval   time.Duration
	EventCount      int
	// Crash ends the server's process; nil to only break the connection.
	Crash func()

	mutex    sync.Mutex
	faults   EventFaults
	inFlight int
	// runCounts is the number of runs of each request, by ID.
	runCounts map[string]int
	// resumedAfter holds the event after which each run of a request started, by ID.
	resumedAfter map[string][]int
	runs         []ServerRun
	maxInFlight  int
	deadlyParts  []string
	deadlyBody   string
	// software is the version of the server's software, which shows in the text of its events;
	// empty for none. The server continues streams of any version. born identifies its start; 0
	// for a server that does not tell.
	software   string
	born       int64
	deadlyRuns []DeadlyRun
	usedPlaces chan struct{}
}

// DefaultEventHeaders returns header names for tests without the platform's protocol.
func DefaultEventHeaders() EventHeaders {
	return EventHeaders{RequestID: "Request-Id", ExpectedServer: "Expect-Server", NotRun: "Not-Run", ServerID: "Server-Id", Stamp: "Stamp", Leaving: "Leaving", PromptParts: "Prompt-Parts"}
}

// PlatformEventHeaders returns the header names of the platform's protocol.
func PlatformEventHeaders() EventHeaders {
	return EventHeaders{
		RequestID: "X-Limpetrail-Attempt-Id", ExpectedServer: "X-Limpetrail-Expect-Instance", NotRun: "X-Limpetrail-Not-Executed",
		ServerID: "X-Limpetrail-Instance-Id", Stamp: "X-Limpetrail-Response-Stamp", Deadline: "X-Limpetrail-Deadline-Ms",
		Leaving: "Server-Leaving", PromptParts: "X-Limpetrail-Prompt-Prefix",
	}
}

// NewEventServer returns a server with eight places and a queue of 24.
func NewEventServer(id string, headers EventHeaders) *EventServer {
	const (
		places = 8
		queue  = 24
	)

	return &EventServer{
		ID: id, Headers: headers, Places: places, QueueLimit: queue,
		FirstEventDelay: 30 * time.Millisecond, EventInterval: 25 * time.Millisecond, EventCount: 20,
		runCounts: map[string]int{}, resumedAfter: map[string][]int{}, usedPlaces: make(chan struct{}, places),
	}
}

// SetFaults replaces the injected faults.
func (server *EventServer) SetFaults(faults EventFaults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.faults = faults
}

func (server *EventServer) isLeaving() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.faults.Leaving
}

// RunCount returns how often a request was run.
func (server *EventServer) RunCount(id string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.runCounts[id]
}

// ResumedAfter returns the event after which each run of a request started; -1 for a run
// from the start.
func (server *EventServer) ResumedAfter(id string) []int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return append([]int{}, server.resumedAfter[id]...)
}

// InFlight returns the number of requests that run or wait.
func (server *EventServer) InFlight() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.inFlight
}

// TotalRuns returns the number of runs of all requests.
func (server *EventServer) TotalRuns() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	total := 0
	for _, count := range server.runCounts {
		total += count
	}

	return total
}

// RunCounts returns how often each request was run, by ID.
func (server *EventServer) RunCounts() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return maps.Clone(server.runCounts)
}

// MaxInFlight returns the maximum number of requests that ran or waited at once.
func (server *EventServer) MaxInFlight() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.maxInFlight
}

// ServeHTTP implements http.Handler.
func (server *EventServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == reportPath {
		server.writeReport(writer)

		return
	}

	// net/http detects a closed connection only after the body has been read.
	body, _ := io.ReadAll(request.Body)

	id := request.Header.Get(server.Headers.RequestID)
	writer.Header().Set(server.Headers.RequestID, id)
	writer.Header().Set(server.Headers.ServerID, server.ID)

	if server.isLeaving() {
		writer.Header().Set(server.Headers.Leaving, "1")
	}

	if expected := request.Header.Get(server.Headers.ExpectedServer); expected != "" && expected != server.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if !server.acquirePlace(request) {
		writer.Header().Set(server.Headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer server.releasePlace()

	after := -1
	if lastEventID, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		after = lastEventID
	}

	run, faults := server.recordRun(id, after)
	defer server.updateRun(run, func(record *ServerRun) { record.End = time.Now() })

	if faults.NeverAnswer {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}

	if !pauseFor(request, faults.SilentBeforeHead) {
		panic(http.ErrAbortHandler)
	}

	writer.Header().Set(server.Headers.Stamp, server.ID)

	if faults.Unframed {
		// net/http neither sends this header on nor frames the body.
		writer.Header().Set("Transfer-Encoding", "identity")
	}

	if server.isDeadly(request, body) {
		server.crash(writer, request, faults)
	}

	if faults.FailStatus != 0 {
		writer.WriteHeader(faults.FailStatus)

		return
	}

	if server.EventCount == 0 {
		pauseFor(request, server.slowedDuration(faults, server.FirstEventDelay)+faults.Silences.draw())

		if faults.EndProcess {
			fmt.Fprint(writer, "answer")
			_ = http.NewResponseController(writer).Flush()
			server.breakOff(writer, faults, 0)
		}

		fmt.Fprintf(writer, "answer to %s", id) //nolint:gosec // No browser renders this body.
		server.updateRun(run, func(record *ServerRun) { record.Whole = request.Context().Err() == nil })

		return
	}

	server.writeEvents(writer, request, faults, after, run)
}

func (server *EventServer) writeEvents(writer http.ResponseWriter, request *http.Request, faults EventFaults, after, run int) {
	software, _ := server.start()

	writer.Header().Set("Content-Type", "text/event-stream")

	control := http.NewResponseController(writer)
	pauseFor(request, server.slowedDuration(faults, server.FirstEventDelay))

	for number := after + 1; number < server.EventCount; number++ {
		sent := number - after - 1
		if faults.BreakAfter > 0 && sent == faults.BreakAfter {
			server.breakOff(writer, faults, number)
		}

		if faults.StallAfter > 0 && sent == faults.StallAfter && !stall(writer, request, faults) {
			panic(http.ErrAbortHandler)
		}

		if !pauseFor(request, faults.Silences.draw()) {
			panic(http.ErrAbortHandler)
		}

		if sent == 0 {
			server.updateRun(run, func(record *ServerRun) { record.FirstEvent = time.Now() })
		}

		if faults.SkipEvent == 0 || number != faults.SkipEvent {
			fmt.Fprintf(writer, "id: %d\ndata: %s%s\n\n", number, SoftwareText(number, software), faults.Padding)
		}

		if control.Flush() != nil {
			return
		}

		if !pauseFor(request, server.slowedDuration(faults, server.EventInterval)) {
			panic(http.ErrAbortHandler)
		}
	}

	server.updateRun(run, func(record *ServerRun) { record.Whole = true })
}

// stall stops sending. It returns true if the server goes on, and false once the caller has closed the
// connection.
func stall(writer http.ResponseWriter, request *http.Request, faults EventFaults) bool {
	if faults.StallFor > 0 {
		return pauseFor(request, faults.StallFor)
	}

	writeSlowly(writer, request, faults.TrickleInterval)

	return false
}

// writeSlowly sends one byte of an event per interval, and never its end, until the
// caller closes the connection.
func writeSlowly(writer http.ResponseWriter, request *http.Request, interval time.Duration) {
	control := http.NewResponseController(writer)

	for interval > 0 && pauseFor(request, interval) {
		if _, err := io.WriteString(writer, "d"); err != nil {
			return
		}

		_ = control.Flush()
	}

	<-request.Context().Done()
}

// EventText returns the data of an event.
func EventText(number int) string {
	return "event-" + strconv.Itoa(number)
}

// SoftwareText returns the data of an event by a server with the software version.
func SoftwareText(number int, software string) string {
	if software == "" {
		return EventText(number)
	}

	return EventText(number) + "@" + software
}

func (server *EventServer) slowedDuration(faults EventFaults, duration time.Duration) time.Duration {
	return duration * time.Duration(max(1, faults.SlowFactor))
}

// acquirePlace waits for a place. It returns false at once if the queue is full.
func (server *EventServer) acquirePlace(request *http.Request) bool {
	server.mutex.Lock()

	if server.inFlight >= server.Places+server.QueueLimit {
		server.mutex.Unlock()

		return false
	}

	server.inFlight++
	server.maxInFlight = max(server.maxInFlight, server.inFlight)
	server.mutex.Unlock()

	select {
	case server.usedPlaces <- struct{}{}:
		return true
	case <-request.Context().Done():
		server.mutex.Lock()
		server.inFlight--
		server.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (server *EventServer) releasePlace() {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.inFlight--
	<-server.usedPlaces
}

// recordRun records the start of a run and returns its number and the faults.
func (server *EventServer) recordRun(id string, after int) (int, EventFaults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.runCounts[id]++
	server.resumedAfter[id] = append(server.resumedAfter[id], after)
	server.runs = append(server.runs, ServerRun{RequestID: id, ServerID: server.ID, After: after, Begin: time.Now()})

	return len(server.runs) - 1, server.faults
}

// pauseFor waits for the duration. It returns false if the caller leaves first.
func pauseFor(request *http.Request, duration time.Duration) bool {
	if duration <= 0 {
		return request.Context().Err() == nil
	}

	select {
	case <-time.After(duration):
		return true
	case <-request.Context().Done():
		return false
	}
}
