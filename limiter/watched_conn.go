package limiter

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// phase is the state of a connection.
type phase int

const (
	// idle connections wait for a request.
	idle phase = iota
	// readingHead connections have sent part of a request's head.
	readingHead
	// serving connections have a request that is being served.
	serving
	// expired connections were closed because their timeout passed, or idle during a drain.
	expired
)

const (
	// answerWriteTimeout bounds the write of headTimeoutAnswer to a slow caller.
	answerWriteTimeout = time.Second
	// interruptInterval is how often a reader is interrupted until it has reacted: the server may set
	// another read deadline at the same moment.
	interruptInterval = 50 * time.Millisecond
)

// headTimeoutAnswer is the answer to a request whose head did not arrive in time.
const headTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// watchedListener accepts connections and applies the timeouts to them.
type watchedListener struct {
	net.Listener

	limiter *Limiter
}

// Accept implements net.Listener.
func (listener *watchedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		// The server goes on after an error whose own type says that it is temporary.
		return nil, err //nolint:wrapcheck // See above.
	}

	return newWatchedConn(conn, listener.limiter), nil
}

// watchedConn is a caller's connection that is closed when the timeout of its phase
// passes. Only the goroutine that reads closes it, between two reads, so that no request is cut that was
// read or waits to be read.
type watchedConn struct {
	net.Conn

	limiter *Limiter
	mutex   sync.Mutex
	// phase does not change after it is expired.
	phase phase
	// phaseBegan is when the connection entered its phase.
	phaseBegan time.Time
	// timer runs in the phases idle and readingHead.
	timer *time.Timer
	// interrupted is set while the reader is to close the connection; its read deadline has passed then.
	interrupted bool
	// head follows the head that is being read.
	head headScanner
	// openedAt is when the connection was accepted; served is set once it had a request.
	openedAt time.Time
	served   bool
}

func newWatchedConn(conn net.Conn, limiter *Limiter) *watchedConn {
	now := time.Now()
	watched := &watchedConn{Conn: conn, limiter: limiter, openedAt: now, phaseBegan: now}
	limiter.addConn(watched)

	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	watched.timer = time.AfterFunc(watched.timeout(), watched.expire)

	return watched
}

// Read implements net.Conn. The timeout of a head starts with its first byte.
func (watched *watchedConn) Read(buffer []byte) (int, error) {
	for {
		count, err := watched.Conn.Read(buffer)
		if count > 0 {
			watched.recordBytes(buffer[:count])
		}

		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !watched.resumeReading() {
			// The server distinguishes network errors by their types.
			return count, err //nolint:wrapcheck // See above.
		}
	}
}

// Close implements net.Conn.
func (watched *watchedConn) Close() error {
	watched.limiter.removeConn(watched)

	return errors.Trace(watched.Conn.Close())
}

// closeIfIdle lets the reader close the connection if no request runs or has begun to arrive, nor is
// expected as its first.
func (watched *watchedConn) closeIfIdle(now time.Time) {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	if watched.phase == idle && (watched.served || now.Sub(watched.openedAt) >= firstRequestTime) {
		watched.interrupt()
	}
}

// CloseWrite lets the server finish an answer without resetting the connection.
func (watched *watchedConn) CloseWrite() error {
	if halfCloser, found := watched.Conn.(interface{ CloseWrite() error }); found {
		return errors.Trace(halfCloser.CloseWrite())
	}

	return nil
}

// onStateChange is the server's ConnState hook; it updates the connection's phase.
func onStateChange(conn net.Conn, state http.ConnState) {
	watched, found := conn.(*watchedConn)
	if !found {
		return
	}

	switch state {
	case http.StateActive:
		// The head is complete.
		watched.setPhase(serving)
	case http.StateIdle:
		watched.setPhase(idle)
	case http.StateClosed:
		watched.setPhase(expired)
	case http.StateHijacked:
		watched.setPhase(serving)
	case http.StateNew:
	}
}

// recordBytes updates the phase after bytes were read. Bytes that are read while a request is being
// served belong to its body or to the next request.
func (watched *watchedConn) recordBytes(part []byte) {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	if watched.phase == idle {
		watched.enter(readingHead)
	}

	// The server says that a head is complete only some time after it was read.
	if watched.phase == readingHead && watched.head.scan(part) {
		watched.enter(serving)
	}

	watched.endInterrupt()
}

// setPhase changes the phase unless the connection has expired.
func (watched *watchedConn) setPhase(next phase) {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	if watched.phase != expired {
		watched.enter(next)
	}
}

// enter changes the phase and resets the timer. The caller holds the mutex.
func (watched *watchedConn) enter(next phase) {
	watched.phase, watched.phaseBegan = next, time.Now()
	watched.served = watched.served || next == serving

	switch next {
	case idle:
		watched.head = headScanner{}
		watched.timer.Reset(watched.timeout())
	case readingHead:
		watched.timer.Reset(watched.timeout())
	default:
		watched.timer.Stop()
		watched.endInterrupt()
	}
}

// timeout returns the timeout of the phase in the configuration in force. An idle connection stays open
// for a little longer, as its caller may use it by a configuration that has not arrived here.
func (watched *watchedConn) timeout() time.Duration {
	limits := watched.limiter.effectiveLimits()
	if watched.phase == readingHead {
		return limits.HeaderTimeout
	}

	return limits.IdleTimeout + configurationLag
}

// expire lets the reader close the connection after its timeout, which may have become longer since
// the timer was set.
func (watched *watchedConn) expire() {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	if watched.phase == serving || watched.phase == expired {
		return
	}

	if rest := watched.timeout() - time.Since(watched.phaseBegan); rest > 0 {
		watched.timer.Reset(rest)

		return
	}

	watched.interrupt()
	watched.timer.Reset(interruptInterval)
}

// interrupt ends the present or next read. The caller holds the mutex.
func (watched *watchedConn) interrupt() {
	watched.interrupted = true
	// A connection that is closed needs no deadline.
	_ = watched.SetReadDeadline(time.Now())
}

// endInterrupt allows reads again. The caller holds the mutex.
func (watched *watchedConn) endInterrupt() {
	if watched.interrupted {
		watched.interrupted = false
		_ = watched.SetReadDeadline(time.Time{})
	}
}

// resumeReading reports whether the reader goes on after its deadline: bytes that arrived in time may
// wait while the process stands still. Otherwise an interrupted connection is closed.
func (watched *watchedConn) resumeReading() bool {
	watched.mutex.Lock()
	if !watched.interrupted {
		watched.mutex.Unlock()

		return false
	}

	if hasUnreadBytes(watched.Conn) {
		watched.endInterrupt()
		watched.mutex.Unlock()

		return true
	}

	previous := watched.phase
	watched.enter(expired)
	watched.mutex.Unlock()
	watched.end(previous)

	return false
}

// end closes an expired connection. A caller whose head did not arrive in time is answered with 408,
// which says that its request was not run.
func (watched *watchedConn) end(previous phase) {
	if previous == readingHead {
		watched.limiter.slowHeads.Inc(1)
		watched.limiter.Log.WithField("Caller", watched.RemoteAddr()).WithField("Limit", watched.limiter.effectiveLimits().HeaderTimeout).Info("Connection closed because a request head did not arrive in time.")

		// If the caller does not read, only this answer is lost.
		_ = watched.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, _ = watched.Write([]byte(headTimeoutAnswer))
	}

	// Closing a closed connection has no effect.
	_ = watched.Close()
}
