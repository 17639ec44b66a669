package emulator

import (
	"bytes"
	"io"
	"net"
	"time"
)

// EndlessServer answers each connection with a head and then repeats the same bytes until its peer
// closes the connection.
type EndlessServer struct {
	Head     string
	Repeated string
	// Pause is the time between two writes; 0 for full speed.
	Pause time.Duration
}

// Serve answers the listener's connections until the listener is closed.
func (server EndlessServer) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		go server.answer(conn)
	}
}

func (server EndlessServer) answer(conn net.Conn) {
	defer conn.Close()

	part := []byte(server.Repeated)
	if server.Pause == 0 {
		part = bytes.Repeat(part, 1+4096/len(part))
	}

	_, err := io.WriteString(conn, server.Head)
	for ; err == nil; _, err = conn.Write(part) {
		time.Sleep(server.Pause)
	}
}
