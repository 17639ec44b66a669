package deployer

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// firstPort and lastPort bound the ports of processes and links. They are below the
	// range of ephemeral ports, any of which an outgoing connection may take meanwhile.
	firstPort = 15000
	lastPort  = 30000
)

// givenAddresses holds the addresses that freeAddress has returned. A process or link that
// is down keeps its address: whoever got it would answer in its place.
var givenAddresses sync.Map

// freeAddress returns a loopback address that has no listener now, and each address once.
func freeAddress(ctx context.Context) string {
	for {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.N(lastPort-firstPort)))

		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}

		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil && ctx.Err() == nil {
			continue
		}

		if err == nil {
			listener.Close()
		}

		return address
	}
}

// listenFree listens at an address that is free. Another process may take one between the look for
// it and its use.
func listenFree(ctx context.Context) (net.Listener, error) {
	const attempts = 10

	var failure error

	for range attempts {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", freeAddress(ctx))
		if err == nil {
			return listener, nil
		}

		failure = err
	}

	return nil, errors.Trace(failure)
}
