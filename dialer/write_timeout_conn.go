package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// writeTimeout bounds one write. A peer that accepts no data for so long has
// failed, or the network between has dropped the connection's state.
const writeTimeout = 10 * time.Second

// WriteTimeoutConn is a connection with a deadline for each write, so that an end
// that only sends detects a silent connection.
type WriteTimeoutConn struct {
	net.Conn
}

// NewWriteTimeoutConn returns the connection with a timeout for each write.
func NewWriteTimeoutConn(conn net.Conn) *WriteTimeoutConn {
	return &WriteTimeoutConn{Conn: conn}
}

// Write implements net.Conn.
func (conn *WriteTimeoutConn) Write(bytes []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Trace(err)
	}

	return conn.Conn.Write(bytes)
}

// WriteTimeoutListener accepts connections as WriteTimeoutConn.
type WriteTimeoutListener struct {
	net.Listener
}

// NewWriteTimeoutListener returns the listener with a timeout for each write of its
// connections.
func NewWriteTimeoutListener(listener net.Listener) *WriteTimeoutListener {
	return &WriteTimeoutListener{Listener: listener}
}

// Accept implements net.Listener.
func (listener *WriteTimeoutListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return NewWriteTimeoutConn(conn), nil
}

// SetUserTimeout sets the socket's TCP_USER_TIMEOUT (RFC 5482): the kernel
// closes the connection if sent data stays unacknowledged for writeTimeout. It is a
// Control function for net.Dialer and net.ListenConfig.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error

	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(optionErr)
}
