package checker_test

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// replayedBytes bounds what a connection keeps for sending again.
const replayedBytes = 64 << 10

// lateConn is one end of a connection whose bytes may be under way for long.
// What was written arrives also after the writer has closed its end, as with
// TCP.
type lateConn struct {
	net.Conn
	// lag is how long a write is under way, in nanoseconds.
	lag *atomic.Int64

	mutex  sync.Mutex
	queue  []chunk
	sent   []byte
	wake   chan struct{}
	ended  chan struct{}
	closed bool
}

type chunk struct {
	bytes []byte
	due   time.Time
}

func newLateConn(conn net.Conn, lag *atomic.Int64) *lateConn {
	late := &lateConn{Conn: conn, lag: lag, wake: make(chan struct{}, 1), ended: make(chan struct{})}

	go late.carry()

	return late
}

// Write implements net.Conn.
func (late *lateConn) Write(bytes []byte) (int, error) {
	late.mutex.Lock()
	defer late.mutex.Unlock()

	if late.closed {
		return 0, net.ErrClosed
	}

	select {
	case <-late.ended:
		return 0, net.ErrClosed
	default:
	}

	copied := append([]byte{}, bytes...)
	late.queue = append(late.queue, chunk{bytes: copied, due: time.Now().Add(time.Duration(late.lag.Load()))})

	if len(late.sent) < replayedBytes {
		late.sent = append(late.sent, copied...)
	}

	late.signal()

	return len(bytes), nil
}

// Read implements net.Conn.
func (late *lateConn) Read(bytes []byte) (int, error) {
	count, err := late.Conn.Read(bytes)
	if late.isClosed() {
		return 0, os.ErrClosed
	}

	return count, err
}

// Close implements net.Conn.
func (late *lateConn) Close() error {
	late.mutex.Lock()
	defer late.mutex.Unlock()

	if late.closed {
		return nil
	}

	late.closed = true
	late.signal()

	return late.SetReadDeadline(time.Unix(1, 0))
}

func (late *lateConn) isClosed() bool {
	late.mutex.Lock()
	defer late.mutex.Unlock()

	return late.closed
}

// written returns what was sent so far, for sending it again.
func (late *lateConn) written() []byte {
	late.mutex.Lock()
	defer late.mutex.Unlock()

	return append([]byte{}, late.sent...)
}

func (late *lateConn) signal() {
	select {
	case late.wake <- struct{}{}:
	default:
	}
}

// carry delivers each write when it is due, in order, then closes.
func (late *lateConn) carry() {
	defer late.Conn.Close()
	defer close(late.ended)

	for {
		next, state := late.next()

		switch state {
		case carried:
			time.Sleep(time.Until(next.due))

			if _, err := late.Conn.Write(next.bytes); err != nil {
				return
			}
		case idle:
			<-late.wake
		case over:
			return
		}
	}
}

type carryState int

const (
	carried carryState = iota
	idle
	over
)

func (late *lateConn) next() (chunk, carryState) {
	late.mutex.Lock()
	defer late.mutex.Unlock()

	if len(late.queue) > 0 {
		next := late.queue[0]
		late.queue = late.queue[1:]

		return next, carried
	}

	if late.closed {
		return chunk{}, over
	}

	return chunk{}, idle
}
