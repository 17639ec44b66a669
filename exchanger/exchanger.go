package exchanger

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
)

const (
	// connectTimeout is many round trips between data centres. A lost opening
	// packet is sent again only after a second.
	connectTimeout = 150 * time.Millisecond
	// freshIdle is how old an idle connection may be for a request that must
	// not be repeated: it cannot be tried again on another connection.
	freshIdle = time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 8
	// inlineBody is written before the answer is read; longer bodies are
	// written meanwhile, since a server may answer before it has read all.
	inlineBody = 16 << 10
)

// Exchanger keeps connections to backend servers.
type Exchanger struct {
	kernel.Common
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Limits bound each answer.
	Limits Limits

	mutex sync.Mutex
	// idle connections by address, the latest used last.
	idle  map[string][]*conn
	dials tally.Counter
}

// Option changes an Exchanger at construction.
type Option func(*Exchanger)

// WithDial replaces the way connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(exchanger *Exchanger) { exchanger.Dial = dial }
}

// WithLimits replaces the limits of answers.
func WithLimits(limits Limits) Option {
	return func(exchanger *Exchanger) { exchanger.Limits = limits }
}

// NewExchanger returns an exchanger without connections.
func NewExchanger(common kernel.Common, options ...Option) *Exchanger {
	common = common.ForPart("exchanger")
	exchanger := &Exchanger{
		Common: common,
		Dial:   (&net.Dialer{}).DialContext,
		Limits: DefaultLimits(),
		idle:   map[string][]*conn{},
		dials:  common.Metrics.Counter("dials"),
	}

	for _, option := range options {
		option(exchanger)
	}

	return exchanger
}

// Terms are how an exchange is made.
type Terms struct {
	// FirstBy is when the answer should have begun; zero for no bound but LastBy.
	FirstBy time.Time
	// LastBy is when the head of the answer must be there.
	LastBy time.Time
	// GiveUp is asked when FirstBy has passed and nothing came. Without it, or
	// if it agrees, the exchange ends.
	GiveUp func() bool
	// Withdrawn is asked once there is a connection; nothing is sent if it agrees.
	Withdrawn func() bool
	// Repeatable requests may use connections that have been idle for long.
	Repeatable bool
}

// Exchange sends a request and returns the answer once its head is there. The
// connection closes when the context ends.
func (exchanger *Exchanger) Exchange(ctx context.Context, address string, request Request, terms Terms) (*Answer, error) {
	conn, err := exchanger.connection(ctx, address, terms)
	if err != nil {
		if ctx.Err() != nil {
			return nil, FailureError{Fate: Left, Cause: ctx.Err()}
		}

		return nil, FailureError{Fate: Unsent, Cause: err}
	}

	if terms.Withdrawn != nil && terms.Withdrawn() {
		conn.Close()

		return nil, FailureError{Fate: Unsent, Cause: ErrWithdrawn}
	}

	answer := &Answer{exchanger: exchanger, address: address, conn: conn, context: ctx}
	answer.stop = context.AfterFunc(ctx, func() { conn.Close() })

	if err := answer.send(request, terms); err != nil {
		answer.Close()

		return nil, exchanger.failure(ctx, err)
	}

	return answer, nil
}

func (exchanger *Exchanger) failure(ctx context.Context, err error) error {
	known := FailureError{}

	switch {
	case ctx.Err() != nil:
		return FailureError{Fate: Left, Cause: errors.Trace(ctx.Err())}
	case errors.As(err, &known):
		return known
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FailureError{Fate: Unanswered, Cause: err}
	default:
		return FailureError{Fate: Cut, Cause: err}
	}
}

func (exchanger *Exchanger) connection(ctx context.Context, address string, terms Terms) (*conn, error) {
	if conn := exchanger.reuse(address, terms.Repeatable); conn != nil {
		return conn, nil
	}

	bounded, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	exchanger.dials.Inc(1)

	connection, err := exchanger.Dial(bounded, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", address)
	}

	return newConn(connection), nil
}

// reuse returns an idle connection that nothing came in on, or nil.
func (exchanger *Exchanger) reuse(address string, repeatable bool) *conn {
	for {
		conn := exchanger.take(address)
		if conn == nil {
			return nil
		}

		now := time.Now()
		if now.Before(conn.usable) && (repeatable || now.Sub(conn.idle) < freshIdle) && conn.quiet() {
			return conn
		}

		conn.Close()
	}
}

func (exchanger *Exchanger) take(address string) *conn {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()

	idle := exchanger.idle[address]
	if len(idle) == 0 {
		return nil
	}

	last := idle[len(idle)-1]
	exchanger.idle[address] = idle[:len(idle)-1]

	return last
}

func (exchanger *Exchanger) put(address string, conn *conn) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()

	if len(exchanger.idle[address]) >= maxIdlePerServer {
		conn.Close()

		return
	}

	exchanger.idle[address] = append(exchanger.idle[address], conn)
}

// Trim closes connections that may not be used again, or on which something came
// in that nobody asked for. It is called now and then, so that addresses that are
// gone and servers that send without end leave nothing behind.
func (exchanger *Exchanger) Trim() {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()

	now := time.Now()

	for address, idle := range exchanger.idle {
		kept := idle[:0]

		for _, conn := range idle {
			if now.Before(conn.usable) && conn.quiet() {
				kept = append(kept, conn)
			} else {
				conn.Close()
			}
		}

		exchanger.idle[address] = kept
		if len(kept) == 0 {
			delete(exchanger.idle, address)
		}
	}
}

// informational tells whether an answer only announces another.
func informational(response *http.Response) bool {
	return response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
}

// wholeLength tells whether an answer says where it ends.
func wholeLength(response *http.Response) bool {
	return response.ContentLength >= 0 || strings.EqualFold(strings.Join(response.TransferEncoding, ""), "chunked")
}
