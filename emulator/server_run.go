package emulator

import (
	"slices"
	"time"
)

// ServerRun is one run of a request at an EventServer.
type ServerRun struct {
	RequestID string
	ServerID  string
	// After is the event after which the run started; -1 for a run from the start.
	After int
	Begin time.Time
	// FirstEvent is when the run sent its first event; zero before.
	FirstEvent time.Time
	// End is when the server stopped working on it; zero before.
	End time.Time
	// Whole is true if the server sent the whole answer.
	Whole bool
}

// Runs returns all runs so far, by the time of their start.
func (server *EventServer) Runs() []ServerRun {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return slices.Clone(server.runs)
}

// updateRun changes the record of a run.
func (server *EventServer) updateRun(index int, update func(run *ServerRun)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	update(&server.runs[index])
}
