package soaker

import (
	"context"
	"fmt"
	"net"
	"sync"

	"limpetrail/deployer"
)

const (
	// firstSlowSeed is the first seed that also draws slowCallers. Its gateways have the memory of the
	// smallest ones.
	firstSlowSeed = 1000
	// smallGateway is that memory in megabytes.
	smallGateway = 144
	// slowUploads and unreadStreams are how many callers send or read slowly at a time. Unread streams
	// leave places for others.
	slowUploads   = 100
	unreadStreams = 5
	// uploadBytes is close to the longest body of the configuration.
	uploadBytes = 990_000
)

// hasSlowCallers reports whether the seed draws slowCallers.
func (soak *Soak) hasSlowCallers() bool {
	return soak.Seed >= firstSlowSeed && soak.Seed < firstWorkspaceSeed
}

// slowCallers lets callers send all but the last byte of uploads to a gateway, and others read nothing of
// their streams, for a while.
func (soak *Soak) slowCallers(ctx context.Context) {
	gateway := soak.gateway(soak.random.intN(gatewayCount))
	stopped, running := make(chan struct{}), sync.WaitGroup{}

	send := func(target string, declared, sent int) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", gateway.CallerAddress)
		if err != nil {
			// Another fault has stopped the gateway.
			return
		}

		go func() {
			<-stopped
			conn.Close()
		}()

		// The gateway may refuse it before it has arrived.
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", target, deployer.RouteHost, declared)
		_, _ = conn.Write(make([]byte, sent))
	}

	for range slowUploads {
		running.Go(func() { send("/once/upload", uploadBytes+1, uploadBytes) })
	}

	for range unreadStreams {
		running.Go(func() { send("/once/unread", 4, 4) })
	}

	soak.pauseForFault(ctx)
	close(stopped)
	running.Wait()
}
