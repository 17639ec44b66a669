package driver

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/throttler"
)

// LimitHeader is the header in which a backend server in need names, in all its answers, how
// many requests a second it takes.
const LimitHeader = "Server-Limit"

// Limited is an Engine or a Service whose backend server may name a limit.
type Limited interface {
	// Reserve takes the right to send a request now, and returns 0. Without one it returns
	// how long it takes until there may be one.
	Reserve(now time.Time) time.Duration
}

var (
	_ Limited = (*HTTPEngine)(nil)
	_ Limited = (*HTTPService)(nil)
)

// limitedServer holds what the answers of one backend server say of the requests that it
// takes.
type limitedServer struct {
	throttler.Gate
	// log receives each change of the limit; nil for none.
	log logrus.FieldLogger
}

// recordAnswer records what an answer says of the server's limit.
func (server *limitedServer) recordAnswer(response *http.Response) {
	statement, err := throttler.ParseStatement(response.Header.Get(LimitHeader))

	switch {
	case err != nil && server.log != nil:
		server.log.WithError(err).Warn("Backend server named a limit that cannot be read; the previous one holds.")
	case err == nil && server.Apply(statement, time.Now()) && server.log != nil:
		server.log.WithFields(logrus.Fields{"Limited": statement.Limited, "PerSecond": statement.PerSecond}).Info("Backend server changed the requests a second that it takes.")
	}
}
