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
	// connectTimeout is many round trips between data centres. It doesn't wait for the
	// retransmission of a lost SYN packet, which comes only after a second.
	connectTimeout = 150 * time.Millisecond
	// maxIdleUnrepeatable is the longest that a connection may have been idle to be used
	// for a request that must not be repeated. The server may close it at any time, and
	// such a request cannot be retried on another connection.
	maxIdleUnrepeatable = time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 8
	// maxInlineBody is the longest body that is written before the answer is read.
	// Longer ones are written concurrently, since a server may answer before it has
	// read all of the body.
	maxInlineBody = 16 << 10
)

// Exchanger sends requests to backend servers and keeps idle connections for reuse.
type Exchanger struct {
	kernel.Common
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Limits apply to each answer.
	Limits Limits

	mutex sync.Mutex
	// idle holds idle connections by address, the most recently used last.
	idle  map[string][]*conn
	dials tally.Counter
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithDial replaces the function that opens connections.
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

// ExchangeOptions are the options of an exchange.
type ExchangeOptions struct {
	// HeadDeadline is when the head of the answer must have arrived.
	HeadDeadline time.Time
	// Withdrawn is called once there is a connection. If it returns true nothing is
	// sent. It may be nil.
	Withdrawn func() bool
	// Repeatable requests may use connections that have been idle for longer.
	Repeatable bool
}

// Exchange sends a request and returns the answer once its head has arrived. The
// connection is closed if the context ends before the answer is closed. Errors are of
// the type FailureError.
func (exchanger *Exchanger) Exchange(ctx context.Context, address string, request Request, options ExchangeOptions) (*Answer, error) {
	conn, err := exchanger.acquire(ctx, address, options)
	if err != nil {
		if ctx.Err() != nil {
			return nil, FailureError{Kind: Cancelled, Cause: ctx.Err()}
		}

		return nil, FailureError{Kind: Unsent, Cause: err}
	}

	if options.Withdrawn != nil && options.Withdrawn() {
		conn.Close()

		return nil, FailureError{Kind: Unsent, Cause: ErrWithdrawn}
	}

	answer := &Answer{exchanger: exchanger, address: address, conn: conn, context: ctx, Reused: !conn.idleSince.IsZero(), ConnectedAt: conn.openedAt}
	answer.stopWatchingContext = context.AfterFunc(ctx, func() { conn.Close() })

	if err := answer.roundTrip(request, options); err != nil {
		answer.Close()

		return nil, exchanger.classify(ctx, err)
	}

	return answer, nil
}

func (exchanger *Exchanger) classify(ctx context.Context, err error) error {
	classified := FailureError{}

	switch {
	case ctx.Err() != nil:
		return FailureError{Kind: Cancelled, Cause: errors.Trace(ctx.Err())}
	case errors.As(err, &classified):
		return classified
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FailureError{Kind: Unanswered, Cause: err}
	default:
		return FailureError{Kind: Interrupted, Cause: err}
	}
}

func (exchanger *Exchanger) acquire(ctx context.Context, address string, options ExchangeOptions) (*conn, error) {
	if conn := exchanger.reuseIdle(address, options.Repeatable); conn != nil {
		return conn, nil
	}

	dialContext, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	exchanger.dials.Inc(1)

	connection, err := exchanger.Dial(dialContext, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", address)
	}

	return newConn(connection), nil
}

// reuseIdle returns an idle connection that may be reused, or nil. It closes the ones
// that may not be.
func (exchanger *Exchanger) reuseIdle(address string, repeatable bool) *conn {
	for {
		conn := exchanger.popIdle(address)
		if conn == nil {
			return nil
		}

		now := time.Now()
		if now.Before(conn.usableUntil) && (repeatable || now.Sub(conn.idleSince) < maxIdleUnrepeatable) && conn.hasNoInput() {
			return conn
		}

		conn.Close()
	}
}

func (exchanger *Exchanger) popIdle(address string) *conn {
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

func (exchanger *Exchanger) pushIdle(address string, conn *conn) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()

	if len(exchanger.idle[address]) >= maxIdlePerServer {
		conn.Close()

		return
	}

	exchanger.idle[address] = append(exchanger.idle[address], conn)
}

// CloseStale closes idle connections that have expired or that have received unsolicited
// bytes. It is called periodically, so that connections to removed addresses and to
// servers that send endlessly do not accumulate.
func (exchanger *Exchanger) CloseStale() {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()

	now := time.Now()

	for address, idle := range exchanger.idle {
		kept := idle[:0]

		for _, conn := range idle {
			if now.Before(conn.usableUntil) && conn.hasNoInput() {
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

// isInformational reports whether another answer to the request follows (1xx). No request asks for
// another protocol, so that 101 is no answer.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFramed reports whether an answer has a length or is chunked, so that its end is
// known while the connection stays open.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || strings.EqualFold(strings.Join(response.TransferEncoding, ""), "chunked")
}
