package deployer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
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

// LoopbackHost returns a loopback address that only this test process listens on. Outgoing
// connections use ports of 127.0.0.1, so neither they nor another test process can take the port of
// a process that is about to start, or is away for a moment.
var LoopbackHost = sync.OnceValue(func() string {
	id := os.Getpid()

	return fmt.Sprintf("127.%d.%d.%d", 1+id>>15&0x7f, id>>7&0xff, 1+id&0x7f)
})

// givenAddresses holds the addresses that freeAddress has returned. A process or link that
// is down keeps its address: whoever got it would answer in its place.
var givenAddresses sync.Map

// freeAddress returns a loopback address that has no listener now, and each address once.
func freeAddress(ctx context.Context) string {
	for {
		address := net.JoinHostPort(LoopbackHost(), strconv.Itoa(firstPort+rand.N(lastPort-firstPort)))

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
