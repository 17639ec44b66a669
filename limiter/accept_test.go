package limiter_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/limiter"
	"limpetrail/matcher"
)

// exhaustedListener has no descriptor for a connection.
type exhaustedListener struct{ net.Listener }

// Accept implements net.Listener.
func (exhaustedListener) Accept() (net.Conn, error) {
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// A gateway that ran out of descriptors ended: the server did not see that the error of its listener
// was temporary.
func TestErrorsOfTheListenerKeepTheirType(t *testing.T) {
	common := kernel.NewDiscardCommon("gateway")
	listener := limiter.NewLimiter(common, matcher.NewCurrentDocument(common)).WrapListener(exhaustedListener{})

	_, err := listener.Accept()
	temporary, known := err.(interface{ Temporary() bool })
	require.True(t, known && temporary.Temporary())
}
