package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// DeadlyRun is the run of a request that ends its server.
type DeadlyRun struct {
	RequestID string
	At        time.Time
}

// SetDeadlyParts sets the prompt parts that end the server's process when it begins to
// answer a request that holds one of them.
func (server *EventServer) SetDeadlyParts(parts ...string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.deadlyParts = parts
}

// SetDeadlyBody sets the body of requests that end the server's process by themselves; empty for
// none.
func (server *EventServer) SetDeadlyBody(body string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.deadlyBody = body
}

// DeadlyRuns returns the runs of requests that ended the server, or were to.
func (server *EventServer) DeadlyRuns() []DeadlyRun {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return slices.Clone(server.deadlyRuns)
}

func (server *EventServer) isDeadly(request *http.Request, body []byte) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	if server.deadlyBody != "" && string(body) == server.deadlyBody {
		return true
	}

	for entry := range strings.SplitSeq(request.Header.Get(server.Headers.PromptParts), ",") {
		part, _, _ := strings.Cut(entry, ":")
		if slices.Contains(server.deadlyParts, part) {
			return true
		}
	}

	return false
}

// crash ends the process where the first event is due. The head of a stream is sent before.
func (server *EventServer) crash(writer http.ResponseWriter, request *http.Request, faults EventFaults) {
	server.mutex.Lock()
	server.deadlyRuns = append(server.deadlyRuns, DeadlyRun{RequestID: request.Header.Get(server.Headers.RequestID), At: time.Now()})
	server.mutex.Unlock()

	if server.EventCount > 0 {
		writer.Header().Set("Content-Type", "text/event-stream")

		_ = http.NewResponseController(writer).Flush()
	}

	if pauseFor(request, server.slowedDuration(faults, server.FirstEventDelay)) && server.Crash != nil {
		server.Crash()
	}

	panic(http.ErrAbortHandler)
}

// breakOff ends an answer before the event with the number.
func (server *EventServer) breakOff(writer http.ResponseWriter, faults EventFaults, number int) {
	if faults.BreakMidEvent {
		fmt.Fprintf(writer, "id: %d\nda", number)

		_ = http.NewResponseController(writer).Flush()
	}

	if faults.EndProcess && server.Crash != nil {
		server.Crash()
	}

	panic(http.ErrAbortHandler)
}
