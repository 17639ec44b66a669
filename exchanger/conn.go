package exchanger

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readBufferBytes holds several events of a stream.
	readBufferBytes = 4 << 10
	// maxIdleTime is the longest time that an idle connection is kept. A server may
	// ask for less in a Keep-Alive header.
	maxIdleTime = 8 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that the server does
	// not close a connection on which a request has just been sent.
	idleMargin = time.Second
)

// conn is a connection to a backend server that limits the bytes of each answer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// openedAt is when the connection had been established.
	openedAt time.Time
	// readErr is the error that ended the connection. The system reports it only once, and a wait for
	// data may be what receives it.
	readErr error
	// bytesAllowed is how many more bytes may be read for the current answer.
	bytesAllowed int
	// part bounds the time in which the bytes of the part that is read now may trickle in.
	part partTimer
	// usableUntil is when an idle connection may no longer be reused.
	usableUntil time.Time
	// idleSince is when the connection became idle.
	idleSince time.Time
}

func newConn(connection net.Conn) *conn {
	wrapped := &conn{Conn: connection, openedAt: time.Now()}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferBytes)

	return wrapped
}

// Read implements net.Conn and stops at the limits of the current answer.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.exceedsLimits() {
		return 0, errors.Trace(ErrLimitExceeded)
	}

	if conn.readErr != nil {
		return 0, conn.readErr
	}

	count, err := conn.Conn.Read(buffer[:min(len(buffer), conn.bytesAllowed)])
	conn.bytesAllowed -= count

	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.readErr = err
	}

	conn.part.record(time.Now())

	return count, err //nolint:wrapcheck // The reader compares it with io.EOF.
}

func (conn *conn) exceedsLimits() bool {
	return conn.bytesAllowed <= 0 || conn.part.exceeded()
}

// limitCause returns ErrLimitExceeded as the cause if a limit ended an answer, because parsers
// replace the connection's error by their own.
func (conn *conn) limitCause(err error) error {
	if conn.exceedsLimits() {
		return errors.Wrap(err, ErrLimitExceeded)
	}

	return err
}

// markIdle records how long the connection may stay idle after an answer. It returns
// false if the connection must not be reused.
func (conn *conn) markIdle(response *http.Response, now time.Time) bool {
	if response.Close || conn.reader.Buffered() > 0 {
		return false
	}

	keepFor := maxIdleTime

	for _, parameter := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keepFor = min(keepFor, time.Duration(seconds)*time.Second-idleMargin)
		}
	}

	conn.idleSince, conn.usableUntil = now, now.Add(keepFor)

	return keepFor > 0
}

// isSilent is hasNoInput for a connection without a descriptor: a read whose deadline has passed
// returns only what is there.
func (conn *conn) isSilent() bool {
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}

	_, err := conn.Conn.Read(make([]byte, 1))

	return errors.Is(err, os.ErrDeadlineExceeded)
}

// hasNoInput reports whether nothing has arrived on an idle connection. Unsolicited
// bytes, such as a late second answer, belong to no request, and EOF means that the
// server closed the connection.
func (conn *conn) hasNoInput() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}

	systemConn, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return conn.isSilent()
	}

	rawConn, err := systemConn.SyscallConn()
	if err != nil {
		return false
	}

	empty := false

	err = rawConn.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN

		return true
	})

	return err == nil && empty
}
