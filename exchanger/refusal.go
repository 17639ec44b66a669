package exchanger

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Refuses reports whether connections to the address are refused, because nothing listens
// there. A host that does not answer at all does not refuse.
func (exchanger *Exchanger) Refuses(ctx context.Context, address string) bool {
	dialContext, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()

	exchanger.dials.Inc(1)

	connection, err := exchanger.Dial(dialContext, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}

	connection.Close()

	return false
}
