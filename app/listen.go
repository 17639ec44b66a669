package app

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"

	"limpetrail/dialer"
)

// Control sets options of a listener's socket; nil for none.
type Control func(network, address string, conn syscall.RawConn) error

// Listen opens a listener. The demo replaces it to hand over listeners that
// are open already.
type Listen func(ctx context.Context, address string, control Control) (net.Listener, error)

// NewListen returns the Listen of an ordinary process.
func NewListen() Listen {
	return func(ctx context.Context, address string, control Control) (net.Listener, error) {
		listener, err := (&net.ListenConfig{Control: control}).Listen(ctx, "tcp", address)

		return listener, errors.Trace(err)
	}
}

// callers listens for callers, operators, health and metrics.
func (listen Listen) callers(ctx context.Context, address string) (net.Listener, error) {
	listener, err := listen(ctx, address, nil)

	return listener, errors.Annotatef(err, "listening at %s", address)
}

// peers listens for the system's own processes. A connection whose peer no
// longer acknowledges anything ends in bounded time.
func (listen Listen) peers(ctx context.Context, address string) (net.Listener, error) {
	listener, err := listen(ctx, address, dialer.BoundUnacknowledged)
	if err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}

	return dialer.NewBoundedListener(listener), nil
}
