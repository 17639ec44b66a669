package soaker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/deployer"
	"limpetrail/emulator"
)

// keptCaller sends requests on one connection for as long as it lasts. It sees what net/http hides: a
// connection that was closed while it was idle.
type keptCaller struct {
	address func() string
	budget  time.Duration

	conn   net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer ended.
	idleSince time.Time
	// lastID is the ID of the last request, which began at lastBegan.
	lastID    string
	lastBegan time.Time
}

// keptAnswer is the outcome of a request on a kept connection.
type keptAnswer struct {
	deployer.Answer

	Header  http.Header
	Elapsed time.Duration
	// Idle is how long the connection was idle before the request; 0 for a new connection.
	Idle time.Duration
	// Sent is when the request was written, and BeforeID and BeforeBegan are those of the request before it
	// on the connection.
	Sent        time.Time
	BeforeID    string
	BeforeBegan time.Time
}

// idleFor returns how long the connection has been idle; 0 if there is none.
func (caller *keptCaller) idleFor() time.Duration {
	if caller.conn == nil {
		return 0
	}

	return time.Since(caller.idleSince)
}

func (caller *keptCaller) close() {
	if caller.conn != nil {
		caller.conn.Close()
		caller.conn = nil
	}
}

// send makes one request. It never repeats it.
func (caller *keptCaller) send(ctx context.Context, target, id string) keptAnswer {
	answer := keptAnswer{}

	if caller.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", caller.address())
		if err != nil {
			answer.Err = err

			return answer
		}

		caller.conn, caller.reader = conn, bufio.NewReader(conn)
	} else {
		answer.Idle, answer.BeforeID, answer.BeforeBegan = caller.idleFor(), caller.lastID, caller.lastBegan
	}

	began := time.Now()
	caller.lastID, caller.lastBegan = id, began
	keep := caller.exchange(ctx, target, id, &answer)
	answer.Elapsed = time.Since(began)
	caller.idleSince = time.Now()

	if !keep {
		caller.close()
	}

	return answer
}

// exchange sends the request and reads the answer. It reports whether the connection may be kept.
func (caller *keptCaller) exchange(ctx context.Context, target, id string, answer *keptAnswer) bool {
	headers := emulator.PlatformEventHeaders()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+deployer.RouteHost+target, strings.NewReader("prompt"))
	if err != nil {
		answer.Err = err

		return false
	}

	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.Deadline, strconv.FormatInt(caller.budget.Milliseconds(), 10))

	_ = caller.conn.SetDeadline(time.Now().Add(caller.budget + 2*time.Second))

	answer.Err = request.Write(caller.conn)
	answer.Sent = time.Now()

	if answer.Err != nil {
		return false
	}

	response, err := http.ReadResponse(caller.reader, request)
	if err != nil {
		answer.Err = err

		return false
	}
	defer response.Body.Close()

	answer.Status, answer.Header = response.StatusCode, response.Header

	body, err := io.ReadAll(response.Body)
	answer.Body, answer.Err = string(body), err

	return err == nil && !response.Close
}

// closedUnanswered reports whether the connection ended before any byte of the answer, rather than that
// the caller gave up waiting.
func (answer keptAnswer) closedUnanswered() bool {
	return answer.Status == 0 && !errors.Is(answer.Err, os.ErrDeadlineExceeded)
}
