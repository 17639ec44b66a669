package executor

import (
	"sync"
	"time"

	"limpetrail/messenger"
)

// Run is one request at this sidecar, from its arrival until its ID is
// forgotten.
type Run struct {
	Request *messenger.ExecuteRequest
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time

	mutex sync.Mutex
	// fate moves only from queued to running to a final fate.
	fate messenger.Fate
	// events is the answer so far. It only grows until the answer is dropped.
	events      [][]byte
	answerBytes int
	// lastFrame is set once, together with a final fate; dropAnswer replaces it.
	lastFrame *messenger.Frame
	// changed is closed at the next change; nil while no follower waits for it.
	changed chan struct{}
	// followers counts the current readers.
	followers int
	// lastFollowed is when a follower last left.
	lastFollowed time.Time
	// stop cancels the run's execution.
	stop func()
}

// NewRun returns a queued run. Stop cancels its execution.
func NewRun(request *messenger.ExecuteRequest, stop func()) *Run {
	return &Run{
		Request:      request,
		Deadline:     time.Now().Add(time.Duration(request.GetRemainingMicros()) * time.Microsecond),
		fate:         messenger.Fate_FATE_QUEUED,
		lastFollowed: time.Now(),
		stop:         stop,
	}
}

// Fate returns the run's fate and the number of events in its answer.
func (run *Run) Fate() (messenger.Fate, uint64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.fate, uint64(len(run.events))
}

// Start marks the run as running. It returns false if the run has already ended,
// for example because it was revoked; the caller must then not call the backend
// server.
func (run *Run) Start() bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.lastFrame != nil {
		return false
	}

	run.fate = messenger.Fate_FATE_RUNNING
	run.notifyFollowers()

	return true
}

// Append adds events to the answer. It returns false when the answer exceeds the
// limit in bytes; the events are kept nevertheless.
func (run *Run) Append(limit int, events ...[]byte) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.appendEvents(events)
	run.notifyFollowers()

	return run.answerBytes <= limit
}

// Complete adds the last events and ends the run as answered, atomically for
// readers. It returns false if the run has already ended.
func (run *Run) Complete(end *messenger.Frame, events ...[]byte) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.lastFrame != nil {
		return false
	}

	run.appendEvents(events)
	run.finish(messenger.Fate_FATE_ANSWERED, end)

	return true
}

// Finish ends the run with the given fate and last frame. It returns false if the
// run has already ended.
func (run *Run) Finish(fate messenger.Fate, end *messenger.Frame) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.lastFrame != nil {
		return false
	}

	run.finish(fate, end)

	return true
}

// Revoke ends the run if it has not started. It returns the run's fate and the
// number of events in its answer.
func (run *Run) Revoke() (messenger.Fate, uint64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.fate == messenger.Fate_FATE_QUEUED {
		run.finish(messenger.Fate_FATE_NOT_RUN, &messenger.Frame{
			Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
			Reason: "revoked before it started",
		})
	}

	return run.fate, uint64(len(run.events))
}

// Events returns the events so far; an interrupted generation resumes after them.
func (run *Run) Events() [][]byte {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.events[:len(run.events):len(run.events)]
}

// EventsAfter returns the events from offset on, and the last frame if the run has
// ended. If there is neither, it returns a channel that is closed at the next
// change.
func (run *Run) EventsAfter(offset uint64) ([][]byte, *messenger.Frame, <-chan struct{}) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	length := uint64(len(run.events))
	offset = min(offset, length)

	if offset < length || run.lastFrame != nil {
		return run.events[offset:length:length], run.lastFrame, nil
	}

	if run.changed == nil {
		run.changed = make(chan struct{})
	}

	return nil, nil, run.changed
}

// Follow registers a reader until the returned function is called.
func (run *Run) Follow() func() {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.followers++

	return func() {
		run.mutex.Lock()
		defer run.mutex.Unlock()

		run.followers--
		run.lastFollowed = time.Now()
	}
}

// IsAbandoned reports whether the unfinished run has had no reader for longer than
// the limit.
func (run *Run) IsAbandoned(limit time.Duration) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.lastFrame == nil && run.followers == 0 && time.Since(run.lastFollowed) > limit
}

// finish sets the fate and the last frame. The caller holds the mutex.
func (run *Run) finish(fate messenger.Fate, end *messenger.Frame) {
	end.Fate = fate
	run.fate = fate
	run.lastFrame = end
	run.notifyFollowers()
}

func (run *Run) appendEvents(events [][]byte) {
	for _, event := range events {
		run.answerBytes += len(event)
	}

	run.events = append(run.events, events...)
}

// dropAnswer frees the answer of an ended run. Whether the run started stays
// known.
func (run *Run) dropAnswer() {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.fate == messenger.Fate_FATE_NOT_RUN {
		return
	}

	run.events = nil
	run.answerBytes = 0
	run.lastFrame = &messenger.Frame{
		Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
		Fate:   messenger.Fate_FATE_MAY_HAVE_RUN,
		Reason: "the answer is no longer kept",
	}
	run.Request = &messenger.ExecuteRequest{
		RequestId:   run.Request.GetRequestId(),
		Incarnation: run.Request.GetIncarnation(),
	}
}

func (run *Run) retainedBytes() int {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.answerBytes + len(run.Request.GetBody())
}

func (run *Run) notifyFollowers() {
	if run.changed != nil {
		close(run.changed)
		run.changed = nil
	}
}
