package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyServer answers each request before it has read the body, and then resets the connection.
type EarlyServer struct {
	Answer string
	// Delay is the time between the answer and the reset.
	Delay time.Duration
}

// Serve answers the listener's connections until the listener is closed.
func (server EarlyServer) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		go server.answer(conn)
	}
}

func (server EarlyServer) answer(conn net.Conn) {
	defer conn.Close()

	// The reader must not take the body from the connection.
	if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err != nil {
		return
	}

	if _, err := io.WriteString(conn, server.Answer); err != nil {
		return
	}

	time.Sleep(server.Delay)

	if connection, ok := conn.(*net.TCPConn); ok {
		// Without lingering, the close sends a reset. It fails only if the connection has ended.
		_ = connection.SetLinger(0)
	}
}
