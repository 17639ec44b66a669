package app

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"

	"limpetrail/dialer"
)

// SocketControl sets options of a listener's socket before it listens; nil sets none.
type SocketControl func(network, address string, conn syscall.RawConn) error

// Listen opens a listener. The demo replaces it to pass in listeners that are
// already open.
type Listen func(ctx context.Context, address string, control SocketControl) (net.Listener, error)

// NewListen returns a Listen that opens TCP listeners.
func NewListen() Listen {
	return func(ctx context.Context, address string, control SocketControl) (net.Listener, error) {
		listener, err := (&net.ListenConfig{Control: control}).Listen(ctx, "tcp", address)

		return listener, errors.Trace(err)
	}
}

// openHTTP opens a listener for callers, operators, health checks or metrics.
func (listen Listen) openHTTP(ctx context.Context, address string) (net.Listener, error) {
	listener, err := listen(ctx, address, nil)

	return listener, errors.Annotatef(err, "listening at %s", address)
}

// openPeers opens a listener for RPC between the system's processes. A connection
// whose peer stops acknowledging data is closed after a bounded time.
func (listen Listen) openPeers(ctx context.Context, address string) (net.Listener, error) {
	listener, err := listen(ctx, address, dialer.SetUserTimeout)
	if err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}

	return dialer.NewWriteTimeoutListener(listener), nil
}
