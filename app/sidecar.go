package app

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"limpetrail/dialer"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/messenger"
	"limpetrail/meter"
	"limpetrail/puller"
)

// Sidecar is a process beside a backend server.
type Sidecar struct {
	kernel.Common
	Settings loader.Sidecar
	Listen   Listen
	Executor *executor.Executor
	Dialer   *dialer.Dialer
	// Services are what peers may call.
	Services []messenger.Service
	Duties   []Duty
	Meter    *meter.Meter
	Puller   *puller.Puller
}

// Run serves until the context ends, then drains: new work is refused, what
// runs finishes, and answers can be read for a short time.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	defer sidecar.Dialer.Close()

	listener, err := sidecar.Listen.peers(ctx, sidecar.Settings.Listen.Peers)
	if err != nil {
		return errors.Trace(err)
	}

	operations, err := sidecar.Listen.callers(ctx, sidecar.Settings.Listen.Operations)
	if err != nil {
		return errors.Trace(err)
	}

	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	pulling := sync.WaitGroup{}
	pulling.Go(func() { sidecar.Puller.Run(ctx) })

	go func() {
		<-ctx.Done()
		sidecar.Executor.Drain()
		pulling.Wait()
		sidecar.Executor.Wait()
		sidecar.Executor.Linger(serving)
		stop()
	}()
	go sidecar.Executor.Maintain(serving)
	go sidecar.serveOperations(serving, operations, ctx.Done())
	startDuties(serving, sidecar.Duties)

	sidecar.Log.WithField("Peers", listener.Addr()).Info("Serving.")

	return servePeers(serving, listener, sidecar.Services)
}

// serveOperations answers health and metrics until the context ends.
func (sidecar *Sidecar) serveOperations(ctx context.Context, listener net.Listener, leaving <-chan struct{}) {
	mux := http.NewServeMux()
	sidecar.Meter.Register(mux)

	departure := NewDeparture(0)
	server := &http.Server{Handler: departure.Wrap(mux), ReadHeaderTimeout: headerTimeout}

	go func() {
		<-leaving
		departure.leaving.Store(true)
		<-ctx.Done()
		server.Close()
	}()

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		sidecar.Log.WithError(err).Error("Health and metrics are not served.")
	}
}
