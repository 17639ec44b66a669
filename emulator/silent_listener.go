package emulator

import (
	"net"
	"sync/atomic"
	"time"
)

// SilentListener accepts connections of a sound process that falls silent as a whole and goes on.
type SilentListener struct {
	net.Listener

	// until is the end of the silence, in Unix nanoseconds.
	until *atomic.Int64
}

// NewSilentListener returns a listener whose process is not silent yet.
func NewSilentListener(listener net.Listener) SilentListener {
	return SilentListener{Listener: listener, until: &atomic.Int64{}}
}

// Silence makes the process send nothing for the duration.
func (listener SilentListener) Silence(duration time.Duration) {
	listener.until.Store(time.Now().Add(duration).UnixNano())
}

// Accept implements net.Listener.
func (listener SilentListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // The server distinguishes errors by their types.
	}

	return silentConn{Conn: conn, until: listener.until}, nil
}

// silentConn is a connection of a process that may be silent.
type silentConn struct {
	net.Conn

	until *atomic.Int64
}

// Write implements net.Conn.
func (conn silentConn) Write(part []byte) (int, error) {
	time.Sleep(time.Until(time.Unix(0, conn.until.Load())))

	return conn.Conn.Write(part) //nolint:wrapcheck // As above.
}
