package app

import (
	"context"
	"net"

	"github.com/juju/errors"

	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/messenger"
)

// Sidecar is a process beside a backend server.
type Sidecar struct {
	kernel.Common
	Settings loader.Sidecar
	Executor *executor.Executor
	// Services are what peers may call.
	Services []messenger.Service
}

// Run serves until the context ends, then drains: new work is refused and
// what runs finishes.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", sidecar.Settings.Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for peers")
	}

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	go func() {
		<-ctx.Done()
		sidecar.Executor.Drain()
		sidecar.Executor.Wait()
		stop()
	}()
	go sidecar.Executor.Tend(serving)

	sidecar.Log.WithField("Peers", listener.Addr()).Info("Serving.")

	return servePeers(serving, listener, sidecar.Services)
}
