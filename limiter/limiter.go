package limiter

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"limpetrail/kernel"
	"limpetrail/matcher"
)

const (
	// defaultHeadTimeout bounds the time in which a request's head (request line
	// and header fields) must arrive if the configuration does not; the system's
	// other servers use the same value.
	defaultHeadTimeout = 10 * time.Second
	// defaultIdleTimeout closes idle connections if the configuration sets no
	// timeout; it is longer than common clients keep idle connections.
	defaultIdleTimeout = 2 * time.Minute
	// configurationLag is how long after its callers this process may learn of a longer idle timeout.
	configurationLag = 2 * time.Second
	// maxTimeout and maxHeadBytes are the limits of the http.Server itself. They
	// must exceed those of any configuration, since they cannot change while the
	// server runs.
	maxTimeout   = time.Hour
	maxHeadBytes = 1 << 20
	// fieldOverhead is the minimum number of bytes in a header line besides the
	// name and the value: a colon and the end of the line.
	fieldOverhead = 3
	// requestLineOverhead counts the two spaces and the end of the request line.
	requestLineOverhead = 4
)

// Limiter enforces the limits of the current configuration.
type Limiter struct {
	kernel.Common
	Configuration *matcher.CurrentDocument

	slowHeads tally.Counter
	longHeads tally.Counter

	connsMutex sync.Mutex
	// conns holds the open connections.
	conns map[*watchedConn]bool
}

// NewLimiter returns a limiter that enforces the limits of the configuration.
func NewLimiter(common kernel.Common, configuration *matcher.CurrentDocument) *Limiter {
	common = common.ForPart("limiter")

	return &Limiter{
		Common: common, Configuration: configuration,
		slowHeads: common.Metrics.Counter("slow_heads"), longHeads: common.Metrics.Counter("long_heads"),
		conns: map[*watchedConn]bool{},
	}
}

// NewServer returns an HTTP server that serves the handler and enforces the limits.
// It must serve listeners that were wrapped with WrapListener.
func (limiter *Limiter) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           limiter.enforceLimits(handler),
		ReadHeaderTimeout: maxTimeout,
		IdleTimeout:       maxTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         onStateChange,
	}
}

// WrapListener wraps a listener so that the timeouts apply to its connections.
func (limiter *Limiter) WrapListener(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, limiter: limiter}
}

// enforceLimits refuses requests whose head is too long.
func (limiter *Limiter) enforceLimits(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		limit := limiter.effectiveLimits().HeaderBytes
		if size := headBytes(request); limit > 0 && size > limit {
			limiter.longHeads.Inc(1)
			limiter.Log.WithField("Caller", request.RemoteAddr).WithField("Bytes", size).WithField("Limit", limit).Info("Request refused because its head exceeds the size limit.")
			writer.Header().Set("Connection", "close")
			http.Error(writer, "The header fields are too large; send fewer or shorter ones.", http.StatusRequestHeaderFieldsTooLarge)

			return
		}

		handler.ServeHTTP(writer, request)
	})
}

// effectiveLimits returns the limits of the current configuration, with defaults for
// the timeouts that it does not set.
func (limiter *Limiter) effectiveLimits() matcher.Limits {
	limits := matcher.Limits{}
	if document := limiter.Configuration.Document(); document != nil {
		limits = document.Limits
	}

	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeadTimeout
	}

	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}

	return limits
}

// headBytes returns the size of a request's head as it was sent, or slightly less:
// optional whitespace is not counted, so that no head within the limit is refused.
func headBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + requestLineOverhead
	size += len("Host") + len(request.Host) + fieldOverhead

	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}

	return size
}
