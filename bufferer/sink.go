package bufferer

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/forwarder"
	"limpetrail/reserver"
)

const (
	// MaxSinkBytes is how much of an answer waits for its caller.
	MaxSinkBytes = 128 << 10
	// minSinkBytes may wait although the budget is spent, so that every answer goes on.
	minSinkBytes = 4 << 10
	// maxWriteBytes is the longest single write. A caller must take one in the time of its route.
	maxWriteBytes = 16 << 10
	// brokenDrainTime is how long the rest of an answer that broke off is still written.
	brokenDrainTime = time.Second
)

// ErrCallerTooSlow is the cause if a caller does not take its answer in time.
const ErrCallerTooSlow = errors.ConstError("the caller did not take its answer in time")

// Sink passes an answer on to a caller that may read slowly. A goroutine writes what waits.
type Sink struct {
	// Sink writes to the caller.
	forwarder.Sink

	controller  *http.ResponseController
	reservation *reserver.Reservation
	// WriteTime is the time in which a caller must take maxWriteBytes.
	WriteTime time.Duration
	// deadline is when the call ends; no part waits for room longer.
	deadline time.Time

	mutex sync.Mutex
	// pending waits to be written.
	pending []byte
	// held is the length of pending and of what is being written.
	held int
	// writing is true while the goroutine runs; idle is closed when it ends.
	writing bool
	idle    chan struct{}
	// room receives when bytes were written, or none can be.
	room chan struct{}
	// err ended the writing.
	err error
	// expired is set once the rest of an answer that broke off is no longer written.
	expired atomic.Bool
}

var _ forwarder.Sink = (*Sink)(nil)

// NewSink returns a sink that buffers what the direct one writes. No part of the answer waits for room
// beyond the deadline.
func NewSink(direct forwarder.Sink, controller *http.ResponseController, reservation *reserver.Reservation, writeTime time.Duration, deadline time.Time) *Sink {
	return &Sink{
		Sink: direct, controller: controller, reservation: reservation, WriteTime: writeTime, deadline: deadline, room: make(chan struct{}, 1),
	}
}

// Write implements forwarder.Sink. It returns once the part is buffered, and waits while the buffer or
// the budget is full.
func (sink *Sink) Write(part []byte) error {
	for len(part) > 0 {
		count, err := sink.push(part)
		if err != nil {
			return err
		}

		part = part[count:]

		if count == 0 {
			if err := sink.awaitRoom(); err != nil {
				return err
			}
		}
	}

	return nil
}

// push buffers the beginning of a part that fits and returns its length.
func (sink *Sink) push(part []byte) (int, error) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()

	if sink.err != nil {
		return 0, sink.err
	}

	count := min(len(part), MaxSinkBytes-sink.held)
	if count > 0 && sink.reservation.Grow(int64(count)) != reserver.Granted {
		count = max(0, min(len(part), minSinkBytes-sink.held))
	}

	sink.pending = append(sink.pending, part[:count]...)
	sink.held += count

	if count > 0 && !sink.writing {
		sink.writing, sink.idle = true, make(chan struct{})

		go sink.writePending(sink.idle)
	}

	return count, nil
}

func (sink *Sink) awaitRoom() error {
	timer := time.NewTimer(time.Until(sink.deadline))
	defer timer.Stop()

	select {
	case <-sink.room:
		return nil
	case <-timer.C:
		sink.mutex.Lock()
		defer sink.mutex.Unlock()

		sink.err = errors.Trace(ErrCallerTooSlow)

		return sink.err
	}
}

// writePending writes until nothing waits or a write fails.
func (sink *Sink) writePending(idle chan struct{}) {
	defer close(idle)

	for {
		sink.mutex.Lock()
		part := sink.pending
		sink.pending = nil

		if len(part) == 0 || sink.err != nil {
			sink.writing = false
			sink.mutex.Unlock()

			return
		}
		sink.mutex.Unlock()

		err := sink.writeParts(part)

		sink.mutex.Lock()
		if sink.err == nil {
			sink.err = err
		}
		sink.mutex.Unlock()
		sink.signalRoom()
	}
}

// writeParts writes bytes that were pending and flushes them.
func (sink *Sink) writeParts(part []byte) error {
	for len(part) > 0 {
		if sink.expired.Load() {
			return errors.Trace(ErrCallerTooSlow)
		}

		count := min(len(part), maxWriteBytes)
		// Writers without deadlines wait for ever.
		_ = sink.controller.SetWriteDeadline(time.Now().Add(sink.WriteTime))

		if err := sink.Sink.Write(part[:count]); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = errors.WithType(err, ErrCallerTooSlow)
			}

			return err
		}

		sink.recordWritten(count)

		part = part[count:]
	}

	return nil
}

func (sink *Sink) recordWritten(count int) {
	sink.reservation.Shrink(int64(count))

	sink.mutex.Lock()
	sink.held -= count
	sink.mutex.Unlock()
	sink.signalRoom()
}

func (sink *Sink) signalRoom() {
	select {
	case sink.room <- struct{}{}:
	default:
	}
}

// Finish waits until everything is written. An answer that is not complete is written for a short time
// only. It releases the memory and returns the error that ended the writing.
func (sink *Sink) Finish(outcome forwarder.Outcome) error {
	sink.mutex.Lock()
	writing, idle := sink.writing, sink.idle
	sink.mutex.Unlock()

	if writing && outcome != forwarder.Answered {
		timer := time.AfterFunc(brokenDrainTime, func() {
			sink.expired.Store(true)

			_ = sink.controller.SetWriteDeadline(time.Now())
		})
		defer timer.Stop()
	}

	if writing {
		<-idle
	}

	// The server still writes the end of a chunked answer. It lifts the deadline before the next
	// request; this fails only if the connection is closed.
	_ = sink.controller.SetWriteDeadline(time.Now().Add(sink.WriteTime))

	sink.reservation.Release()

	sink.mutex.Lock()
	defer sink.mutex.Unlock()

	return sink.err
}
