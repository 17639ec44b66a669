package app

import (
	"context"
	"net"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/dialer"
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
	Server   *executor.Server
}

// Run serves until the context ends, then drains: new work is refused and
// what runs finishes.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", sidecar.Settings.Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for peers")
	}

	mux := drpcmux.New()
	if err := messenger.DRPCRegisterSidecar(mux, sidecar.Server); err != nil {
		return errors.Trace(err)
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

	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})

	return errors.Annotate(server.Serve(serving, listener), "serving peers")
}
