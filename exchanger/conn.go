package exchanger

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readBuffer holds several events of a stream.
	readBuffer = 4 << 10
	// maxIdle is how long an unused connection is kept where the server does
	// not say.
	maxIdle = 8 * time.Second
	// idleMargin is taken off the server's own time, so that it does not close
	// a connection on which a request is under way.
	idleMargin = time.Second
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// left is how many bytes of the present answer may still come in.
	left int
	// usable is until when an idle connection may be used again.
	usable time.Time
	// idle is since when the connection is idle.
	idle time.Time
}

func newConn(connection net.Conn) *conn {
	made := &conn{Conn: connection}
	made.reader = bufio.NewReaderSize(made, readBuffer)

	return made
}

// Read reads what may still come in of the present answer.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.left <= 0 {
		return 0, errors.Trace(ErrTooLong)
	}

	count, err := conn.Conn.Read(buffer[:min(len(buffer), conn.left)])
	conn.left -= count

	return count, err //nolint:wrapcheck // The reader compares it with io.EOF.
}

// cause names the limit where it is what ended an answer; parsers replace the
// error of the connection by their own.
func (conn *conn) cause(err error) error {
	if conn.left <= 0 {
		return errors.Wrap(err, ErrTooLong)
	}

	return err
}

// rest notes how long the connection may lie idle after an answer.
func (conn *conn) rest(response *http.Response, now time.Time) bool {
	if response.Close || conn.reader.Buffered() > 0 {
		return false
	}

	keep := maxIdle

	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = min(keep, time.Duration(seconds)*time.Second-idleMargin)
		}
	}

	conn.idle, conn.usable = now, now.Add(keep)

	return keep > 0
}

// quiet tells whether nothing came in on an idle connection. Bytes that nobody
// asked for belong to no request, and an end means that the server closed it.
func (conn *conn) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}

	system, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}

	empty := false

	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN

		return true
	})

	return err == nil && empty
}
