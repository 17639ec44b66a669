package limiter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

const (
	// defaultHead bounds the time for a request's head where the configuration
	// does not; the system's other servers allow the same.
	defaultHead = 10 * time.Second
	// defaultIdle bounds idle connections where the configuration does not; it
	// is longer than common clients keep theirs.
	defaultIdle = 2 * time.Minute
	// mostTime and mostHeadBytes are what the server itself allows. They stay
	// above all configurations, since a server's own limits hold for its life.
	mostTime      = time.Hour
	mostHeadBytes = 1 << 20
	// fieldOverhead is the least that a field's line has besides its name and
	// value: a colon and the end of the line.
	fieldOverhead = 3
	// lineOverhead is the two spaces and the end of the request line.
	lineOverhead = 4
)

// Limiter applies the limits of the configuration in force.
type Limiter struct {
	kernel.Common
	Configuration *matcher.Current

	slowHeads tally.Counter
	longHeads tally.Counter
}

// NewLimiter returns a limiter that follows the configuration.
func NewLimiter(common kernel.Common, configuration *matcher.Current) *Limiter {
	common = common.ForPart("limiter")

	return &Limiter{
		Common: common, Configuration: configuration,
		slowHeads: common.Metrics.Counter("slow_heads"), longHeads: common.Metrics.Counter("long_heads"),
	}
}

// Server returns a server of the handler under the limits. It serves the
// listeners that Listen returns.
func (limiter *Limiter) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           limiter.guard(handler),
		ReadHeaderTimeout: mostTime,
		IdleTimeout:       mostTime,
		MaxHeaderBytes:    mostHeadBytes,
		ConnState:         noteState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// Listen wraps a listener so that its connections are watched.
func (limiter *Limiter) Listen(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, limiter: limiter}
}

type connKey struct{}

// guard refuses heads that are too long, and requests whose connection has been
// told that they will not run.
func (limiter *Limiter) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if watched, found := request.Context().Value(connKey{}).(*watchedConn); found && watched.isExpired() {
			panic(http.ErrAbortHandler)
		}

		limit := limiter.limits().HeaderBytes
		if size := headBytes(request); limit > 0 && size > limit {
			limiter.longHeads.Inc(1)
			limiter.Log.WithField("Caller", request.RemoteAddr).WithField("Bytes", size).WithField("Limit", limit).Info("Head of a request is too long.")
			writer.Header().Set("Connection", "close")
			http.Error(writer, "The header fields are too large; send fewer or shorter ones.", http.StatusRequestHeaderFieldsTooLarge)

			return
		}

		handler.ServeHTTP(writer, request)
	})
}

// limits returns those in force, with the defaults for what they leave open.
func (limiter *Limiter) limits() matcher.Limits {
	limits := matcher.Limits{}
	if document := limiter.Configuration.Document(); document != nil {
		limits = document.Limits
	}

	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHead
	}

	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdle
	}

	return limits
}

// headBytes is the size of a request's head as it was sent, or a little less:
// optional spaces are not counted, so that no head within the limit is refused.
func headBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + lineOverhead
	size += len("Host") + len(request.Host) + fieldOverhead

	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}

	return size
}
