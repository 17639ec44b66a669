package executor

import (
	"sync"
	"time"

	"limpetrail/messenger"
)

// Run is one request at this sidecar, from arrival until its answer is no
// longer kept.
type Run struct {
	Request *messenger.ExecuteRequest
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time

	mutex sync.Mutex
	// fate only moves forward: queued, running, then one of the final ones.
	fate messenger.Fate
	// events is the answer so far; it only grows.
	events [][]byte
	bytes  int
	// end is the last frame, set exactly once with a final fate.
	end *messenger.Frame
	// changed is closed at the next change; nil while nobody waits for it.
	changed chan struct{}
	// followers counts the streams that read this run now.
	followers int
	// unfollowed is when the last follower left.
	unfollowed time.Time
	// stop ends the run's work at the backend server.
	stop func()
}

// NewRun returns a queued run.
func NewRun(request *messenger.ExecuteRequest, stop func()) *Run {
	return &Run{
		Request:    request,
		Deadline:   time.Now().Add(time.Duration(request.GetRemainingMicros()) * time.Microsecond),
		fate:       messenger.Fate_FATE_QUEUED,
		unfollowed: time.Now(),
		stop:       stop,
	}
}

// Fate returns what is known about the run, and the length of its answer.
func (run *Run) Fate() (messenger.Fate, uint64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.fate, uint64(len(run.events))
}

// Start marks the run as started. It returns false when the run was revoked
// first; the caller must then not touch the backend server.
func (run *Run) Start() bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.end != nil {
		return false
	}

	run.fate = messenger.Fate_FATE_RUNNING
	run.notify()

	return true
}

// Append adds events to the answer. It returns false when the answer has grown
// past the limit; the events are kept all the same.
func (run *Run) Append(limit int, events ...[]byte) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.append(events)
	run.notify()

	return run.bytes <= limit
}

// Complete adds the last events together with the last frame, so that no
// reader sees them apart.
func (run *Run) Complete(end *messenger.Frame, events ...[]byte) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.end != nil {
		return false
	}

	run.append(events)
	run.finish(messenger.Fate_FATE_ANSWERED, end)

	return true
}

// Finish sets the last frame, unless the run has one already.
func (run *Run) Finish(fate messenger.Fate, end *messenger.Frame) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.end != nil {
		return false
	}

	run.finish(fate, end)

	return true
}

// Revoke ends the run if it has not started, and returns its fate.
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

// Events returns the prefix of the answer, to resume the stream after it.
func (run *Run) Events() [][]byte {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.events[:len(run.events):len(run.events)]
}

// After returns the events from offset on and the last frame if there is one,
// or else a channel that is closed at the next change.
func (run *Run) After(offset uint64) ([][]byte, *messenger.Frame, <-chan struct{}) {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	length := uint64(len(run.events))
	offset = min(offset, length)

	if offset < length || run.end != nil {
		return run.events[offset:length:length], run.end, nil
	}

	if run.changed == nil {
		run.changed = make(chan struct{})
	}

	return nil, nil, run.changed
}

// Follow counts a reader until the returned function is called.
func (run *Run) Follow() func() {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	run.followers++

	return func() {
		run.mutex.Lock()
		defer run.mutex.Unlock()

		run.followers--
		run.unfollowed = time.Now()
	}
}

// Abandoned tells whether nobody has read the unfinished run for that long.
func (run *Run) Abandoned(limit time.Duration) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.end == nil && run.followers == 0 && time.Since(run.unfollowed) > limit
}

// finish sets the last frame, with the mutex held.
func (run *Run) finish(fate messenger.Fate, end *messenger.Frame) {
	end.Fate = fate
	run.fate = fate
	run.end = end
	run.notify()
}

func (run *Run) append(events [][]byte) {
	for _, event := range events {
		run.bytes += len(event)
	}

	run.events = append(run.events, events...)
}

// drop lets go of the answer. What ran and what did not stays known.
func (run *Run) drop() {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	if run.fate == messenger.Fate_FATE_NOT_RUN {
		return
	}

	run.events = nil
	run.bytes = 0
	run.end = &messenger.Frame{
		Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
		Fate:   messenger.Fate_FATE_MAY_HAVE_RUN,
		Reason: "the answer is no longer kept",
	}
	run.Request = &messenger.ExecuteRequest{
		RequestId:   run.Request.GetRequestId(),
		Incarnation: run.Request.GetIncarnation(),
	}
}

func (run *Run) size() int {
	run.mutex.Lock()
	defer run.mutex.Unlock()

	return run.bytes + len(run.Request.GetBody())
}

func (run *Run) notify() {
	if run.changed != nil {
		close(run.changed)
		run.changed = nil
	}
}
