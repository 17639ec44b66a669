package app

import (
	"context"

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

// Run serves until the context ends, then drains: new work is refused, what
// runs finishes, and answers can be read for a short time.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	listener, err := listenPeers(ctx, sidecar.Settings.Listen.Peers)
	if err != nil {
		return errors.Trace(err)
	}

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	go func() {
		<-ctx.Done()
		sidecar.Executor.Drain()
		sidecar.Executor.Wait()
		sidecar.Executor.Linger(serving)
		stop()
	}()
	go sidecar.Executor.Tend(serving)

	sidecar.Log.WithField("Peers", listener.Addr()).Info("Serving.")

	return servePeers(serving, listener, sidecar.Services)
}
