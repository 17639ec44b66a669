package limiter

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// phase is what a connection is waiting for.
type phase int

const (
	// idle connections wait for a request.
	idle phase = iota
	// heading connections have sent a part of a request's head.
	heading
	// busy connections have a request that is being served.
	busy
	// expired connections were closed for taking too long.
	expired
)

// answerTime bounds the writing of the last answer to a slow caller.
const answerTime = time.Second

// tooSlow is the answer to a head that did not come in time.
const tooSlow = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// watchedListener accepts connections that are watched.
type watchedListener struct {
	net.Listener

	limiter *Limiter
}

// Accept implements net.Listener.
func (listener *watchedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, errors.Trace(err)
	}

	return newWatchedConn(conn, listener.limiter), nil
}

// watchedConn is a caller's connection with a timer for its phase.
type watchedConn struct {
	net.Conn

	limiter *Limiter
	mutex   sync.Mutex
	// phase never changes once it is expired.
	phase phase
	// timer runs in the phases idle and heading.
	timer *time.Timer
}

func newWatchedConn(conn net.Conn, limiter *Limiter) *watchedConn {
	watched := &watchedConn{Conn: conn, limiter: limiter}

	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	watched.timer = time.AfterFunc(limiter.limits().IdleTimeout, watched.expire)

	return watched
}

// Read implements net.Conn. The time for a head begins with its first byte.
func (watched *watchedConn) Read(buffer []byte) (int, error) {
	count, err := watched.Conn.Read(buffer)
	if count > 0 {
		watched.enter(heading)
	}

	// The server tells errors of the network apart by their types.
	return count, err //nolint:wrapcheck // See above.
}

// CloseWrite lets the server end an answer without resetting the connection.
func (watched *watchedConn) CloseWrite() error {
	if half, found := watched.Conn.(interface{ CloseWrite() error }); found {
		return errors.Trace(half.CloseWrite())
	}

	return nil
}

// noteState follows what the server makes of a connection.
func noteState(conn net.Conn, state http.ConnState) {
	watched, found := conn.(*watchedConn)
	if !found {
		return
	}

	switch state {
	case http.StateActive:
		// The head is whole.
		watched.enter(busy)
	case http.StateIdle:
		watched.enter(idle)
	case http.StateClosed, http.StateHijacked:
		watched.timer.Stop()
	case http.StateNew:
	}
}

// enter changes the phase. A head begins in idle connections only: what is read
// while a request is served belongs to its body or to the next request.
func (watched *watchedConn) enter(next phase) {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	if watched.phase == expired || next == heading && watched.phase != idle {
		return
	}

	watched.phase = next

	switch next {
	case idle:
		watched.timer.Reset(watched.limiter.limits().IdleTimeout)
	case heading:
		watched.timer.Reset(watched.limiter.limits().HeaderTimeout)
	default:
		watched.timer.Stop()
	}
}

// expire closes a connection whose time is over. A caller whose head did not
// come in time is told that its request has not run.
func (watched *watchedConn) expire() {
	watched.mutex.Lock()
	ended := watched.phase
	if ended == busy || ended == expired {
		watched.mutex.Unlock()

		return
	}

	watched.phase = expired
	watched.mutex.Unlock()

	if ended == heading {
		watched.limiter.slowHeads.Inc(1)
		watched.limiter.Log.WithField("Caller", watched.RemoteAddr()).WithField("Limit", watched.limiter.limits().HeaderTimeout).Info("Head of a request came too slowly.")

		// A caller that does not read loses only this answer.
		_ = watched.SetWriteDeadline(time.Now().Add(answerTime))
		_, _ = watched.Write([]byte(tooSlow))
	}

	// A connection that is closed already needs no more.
	_ = watched.Close()
}

// isExpired tells whether the caller was told that its request will not run.
func (watched *watchedConn) isExpired() bool {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()

	return watched.phase == expired
}
