package exchanger

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Refuses reports whether connections to the address are refused, because nothing listens
// there. A host that does not answer at all does not refuse.
func Refuses(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	connection, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}

	connection.Close()

	return false
}

// Refuses is the function Refuses with the exchanger's connections.
func (exchanger *Exchanger) Refuses(ctx context.Context, address string) bool {
	exchanger.dials.Inc(1)

	return Refuses(ctx, exchanger.Dial, address)
}
