package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// writeTimeout bounds one write. A peer that takes nothing for so long is
// gone, or something between the two ends has lost track of the connection.
const writeTimeout = 10 * time.Second

// BoundedConn is a connection whose writes end in bounded time, so that a
// silent connection is noticed by the end that only sends.
type BoundedConn struct {
	net.Conn
}

// NewBoundedConn bounds the writes of the connection.
func NewBoundedConn(conn net.Conn) *BoundedConn {
	return &BoundedConn{Conn: conn}
}

// Write implements net.Conn.
func (conn *BoundedConn) Write(bytes []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Trace(err)
	}

	return conn.Conn.Write(bytes)
}

// BoundedListener accepts connections whose writes are bounded.
type BoundedListener struct {
	net.Listener
}

// NewBoundedListener bounds the writes of the listener's connections.
func NewBoundedListener(listener net.Listener) *BoundedListener {
	return &BoundedListener{Listener: listener}
}

// Accept implements net.Listener.
func (listener *BoundedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return NewBoundedConn(conn), nil
}

// BoundUnacknowledged makes the system end a connection whose peer has
// acknowledged nothing for the write timeout (RFC 5482). It is the control
// function of a net.Dialer or net.ListenConfig.
func BoundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error

	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(failure)
}
