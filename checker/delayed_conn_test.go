package checker_test

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// maxReplayBytes limits the data that a connection keeps for a replay.
const maxReplayBytes = 64 << 10

// delayedConn is one end of a connection that delivers writes after a delay. As
// with TCP, data arrives even if the writer has closed its end since.
type delayedConn struct {
	net.Conn
	// delay is the time until a write is delivered, in nanoseconds.
	delay *atomic.Int64

	mutex sync.Mutex
	// queue has the writes that are still to be delivered.
	queue []chunk
	// sent is what was written so far, up to about maxReplayBytes.
	sent []byte
	// wake has an entry if the queue or closed has changed.
	wake    chan struct{}
	stopped chan struct{}
	closed  bool
}

type chunk struct {
	bytes []byte
	due   time.Time
}

func newDelayedConn(conn net.Conn, delay *atomic.Int64) *delayedConn {
	delayed := &delayedConn{Conn: conn, delay: delay, wake: make(chan struct{}, 1), stopped: make(chan struct{})}

	go delayed.deliverChunks()

	return delayed
}

// Write implements net.Conn.
func (conn *delayedConn) Write(bytes []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	if conn.closed {
		return 0, net.ErrClosed
	}

	select {
	case <-conn.stopped:
		return 0, net.ErrClosed
	default:
	}

	copied := append([]byte{}, bytes...)
	conn.queue = append(conn.queue, chunk{bytes: copied, due: time.Now().Add(time.Duration(conn.delay.Load()))})

	if len(conn.sent) < maxReplayBytes {
		conn.sent = append(conn.sent, copied...)
	}

	conn.signal()

	return len(bytes), nil
}

// Read implements net.Conn.
func (conn *delayedConn) Read(bytes []byte) (int, error) {
	count, err := conn.Conn.Read(bytes)
	if conn.isClosed() {
		return 0, os.ErrClosed
	}

	return count, err
}

// Close implements net.Conn.
func (conn *delayedConn) Close() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	if conn.closed {
		return nil
	}

	conn.closed = true
	conn.signal()

	return conn.SetReadDeadline(time.Unix(1, 0))
}

func (conn *delayedConn) isClosed() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	return conn.closed
}

// sentBytes returns a copy of what was sent so far, for a replay.
func (conn *delayedConn) sentBytes() []byte {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	return append([]byte{}, conn.sent...)
}

func (conn *delayedConn) signal() {
	select {
	case conn.wake <- struct{}{}:
	default:
	}
}

// deliverChunks delivers each write when it is due, in order. It closes the
// connection after the last one.
func (conn *delayedConn) deliverChunks() {
	defer conn.Conn.Close()
	defer close(conn.stopped)

	for {
		next, state := conn.nextChunk()

		switch state {
		case queueReady:
			time.Sleep(time.Until(next.due))

			if _, err := conn.Conn.Write(next.bytes); err != nil {
				return
			}
		case queueEmpty:
			<-conn.wake
		case queueClosed:
			return
		}
	}
}

// queueState is what nextChunk found in the queue.
type queueState int

const (
	queueReady queueState = iota
	queueEmpty
	queueClosed
)

func (conn *delayedConn) nextChunk() (chunk, queueState) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	if len(conn.queue) > 0 {
		next := conn.queue[0]
		conn.queue = conn.queue[1:]

		return next, queueReady
	}

	if conn.closed {
		return chunk{}, queueClosed
	}

	return chunk{}, queueEmpty
}
