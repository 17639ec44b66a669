package emulator

import (
	"net"
	"sync"
	"time"
)

// PausingListener accepts connections of a sound server that falls silent once in each answer, at any
// byte of it, and goes on.
type PausingListener struct {
	net.Listener

	// After is the number of bytes of an answer that are sent before the pause. It counts from the
	// last byte that was read.
	After int
	// For is the length of the pause.
	For time.Duration
}

// Accept implements net.Listener.
func (listener PausingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // The server distinguishes errors by their types.
	}

	return &pausingConn{Conn: conn, listener: listener}, nil
}

// pausingConn is a connection of a server that pauses within an answer.
type pausingConn struct {
	net.Conn

	listener PausingListener
	mutex    sync.Mutex
	// written is the number of bytes written since the last read.
	written int
}

// Read implements net.Conn.
func (conn *pausingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.mutex.Lock()
		conn.written = 0
		conn.mutex.Unlock()
	}

	return count, err //nolint:wrapcheck // The server distinguishes errors by their types.
}

// Write implements net.Conn.
func (conn *pausingConn) Write(part []byte) (int, error) {
	conn.mutex.Lock()
	before := conn.listener.After - conn.written
	conn.written += len(part)
	conn.mutex.Unlock()

	if before < 0 || before >= len(part) {
		return conn.Conn.Write(part) //nolint:wrapcheck // As above.
	}

	count, err := conn.Conn.Write(part[:before])
	if err != nil {
		return count, err //nolint:wrapcheck // As above.
	}

	time.Sleep(conn.listener.For)

	rest, err := conn.Conn.Write(part[before:])

	return count + rest, err //nolint:wrapcheck // As above.
}
