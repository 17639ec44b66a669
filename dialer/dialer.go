// Package dialer opens and pools the drpc connections between the system's own
// processes.
//
// A drpc connection carries one stream at a time, so each running request has a
// connection of its own and doesn't wait for others. Idle connections stay in the
// pool for a short time only, because an idle connection may go silent without
// either end noticing.
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
	maxIdlePerAddress  = 64
)

// MaxMessageBytes bounds the size of a message between processes.
const MaxMessageBytes = 32 << 20

// Dialer opens connections and keeps a pool of idle ones by address.
type Dialer struct {
	// DialContext opens the transport connection; tests replace it.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration

	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// Option changes a Dialer at construction.
type Option func(*Dialer)

// WithDialContext replaces the function that opens the transport connection.
func WithDialContext(dialContext func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(dialer *Dialer) { dialer.DialContext = dialContext }
}

// NewDialer returns a dialer for TCP.
func NewDialer(options ...Option) *Dialer {
	dialer := &Dialer{
		DialContext: (&net.Dialer{Control: SetUserTimeout}).DialContext,
		DialTimeout: defaultDialTimeout,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  defaultIdleTimeout,
			KeyCapacity: maxIdlePerAddress,
		}),
	}
	for _, option := range options {
		option(dialer)
	}

	return dialer
}

// Pooled returns a connection that, at each call, uses an idle one from the pool or
// opens one. It suits calls that may be repeated.
func (dialer *Dialer) Pooled(ctx context.Context, address string) drpc.Conn {
	return dialer.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return dialer.Dial(ctx, address)
	})
}

// Get returns an idle connection from the pool, or opens one. The caller returns
// it with Release, or closes it. An error means that nothing was sent.
func (dialer *Dialer) Get(ctx context.Context, address string) (drpcpool.Conn, error) {
	if conn, found := dialer.pool.Take(address); found {
		return conn, nil
	}

	return dialer.Dial(ctx, address)
}

// Release returns a connection to the pool. Its last call must have ended without an
// error.
func (dialer *Dialer) Release(address string, conn drpcpool.Conn) {
	dialer.pool.Put(address, conn)
}

// Dial opens a new connection. The caller closes it, or adds it to the pool with
// Release. Use it to ask about a request whose connection went silent.
func (dialer *Dialer) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialer.DialTimeout)
	defer cancel()

	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "dialling %s", address)
	}

	transport = NewWriteTimeoutConn(transport)

	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// Close closes the idle connections.
func (dialer *Dialer) Close() error {
	return errors.Trace(dialer.pool.Close())
}

// ManagerOptions returns drpc options that bound the memory a peer's message can
// take in this process.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
