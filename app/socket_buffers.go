package app

import (
	"syscall"

	"github.com/juju/errors"
)

const (
	// socketReadBytes bounds what a socket holds unread. The system's own tuning goes to 6 MB, which is
	// charged to the process. Bodies and answers still move at 64 KB in a round trip.
	socketReadBytes = 64 << 10
	// callerWriteBytes bounds what a caller's socket holds of an answer that is not taken: hundreds of
	// such callers must fit beside their buffers. The system's own tuning goes to 4 MB.
	callerWriteBytes = 32 << 10
)

// boundCallerSocket sets the buffers of a listener, which its connections get too.
func boundCallerSocket(_, _ string, conn syscall.RawConn) error {
	return setBuffers(conn, map[int]int{syscall.SO_RCVBUF: socketReadBytes, syscall.SO_SNDBUF: callerWriteBytes})
}

// boundServerSocket sets the buffer of a connection to a backend server.
func boundServerSocket(_, _ string, conn syscall.RawConn) error {
	return setBuffers(conn, map[int]int{syscall.SO_RCVBUF: socketReadBytes})
}

func setBuffers(conn syscall.RawConn, sizes map[int]int) error {
	var failure error

	err := conn.Control(func(descriptor uintptr) {
		for option, size := range sizes {
			if err := syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, option, size); err != nil {
				failure = err
			}
		}
	})
	if err == nil {
		err = failure
	}

	return errors.Annotate(err, "setting the buffers of a socket")
}
