package deployer

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
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
