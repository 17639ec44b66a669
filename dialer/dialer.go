// Package dialer opens the connections between the system's own processes.
//
// drpc carries one stream at a time on a connection, so each running request
// has a connection of its own and none waits behind another. Idle connections
// are pooled for a short time only, because an idle connection may have gone
// silent without either end noticing.
package dialer

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 10 * time.Second
	idlePerAddress     = 64
)

// MaxMessageBytes bounds every message between processes.
const MaxMessageBytes = 32 << 20

// Dialer hands out connections by address.
type Dialer struct {
	// DialContext opens the transport; tests replace it.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration

	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// Option changes a Dialer at construction.
type Option func(*Dialer)

// WithDialContext replaces the opening of the transport.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(dialer *Dialer) { dialer.DialContext = dial }
}

// NewDialer returns a dialer over TCP.
func NewDialer(options ...Option) *Dialer {
	dialer := &Dialer{
		DialContext: (&net.Dialer{Control: BoundUnacknowledged}).DialContext,
		DialTimeout: defaultDialTimeout,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  defaultIdleTimeout,
			KeyCapacity: idlePerAddress,
		}),
	}
	for _, option := range options {
		option(dialer)
	}

	return dialer
}

// Pooled returns a connection that takes an idle one from the pool, or opens
// one, at each call. It suits questions that may be asked again.
func (dialer *Dialer) Pooled(ctx context.Context, address string) drpc.Conn {
	return dialer.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return dialer.Fresh(ctx, address)
	})
}

// Take returns an idle connection from the pool, or opens one. The caller gives
// it back with Give, or closes it. An error means that nothing was sent.
func (dialer *Dialer) Take(ctx context.Context, address string) (drpcpool.Conn, error) {
	if conn, found := dialer.pool.Take(address); found {
		return conn, nil
	}

	return dialer.Fresh(ctx, address)
}

// Give puts a connection whose last call has ended well into the pool.
func (dialer *Dialer) Give(address string, conn drpcpool.Conn) {
	dialer.pool.Put(address, conn)
}

// Fresh opens a new connection, which the caller closes. It is the way to ask
// about a request whose connection went silent.
func (dialer *Dialer) Fresh(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialer.DialTimeout)
	defer cancel()

	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "dialling %s", address)
	}

	transport = NewBoundedConn(transport)

	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// Close closes the idle connections.
func (dialer *Dialer) Close() error {
	return errors.Trace(dialer.pool.Close())
}

// ManagerOptions bounds what a peer can make this process keep.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
