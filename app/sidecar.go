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

// Sidecar is the process beside a backend server that admits and executes its requests.
type Sidecar struct {
	kernel.Common
	Settings loader.Sidecar
	Listen   Listen
	Executor *executor.Executor
	Dialer   *dialer.Dialer
	// Services are the RPC services that this process offers to its peers.
	Services        []messenger.Service
	BackgroundTasks []BackgroundTask
	Meter           *meter.Meter
	Puller          *puller.Puller
}

// Run serves until the context ends, then drains: it refuses new work, lets running
// requests finish and stays up for a short time so that callers can read their answers.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	defer sidecar.Dialer.Close()

	listener, err := sidecar.Listen.openPeers(ctx, sidecar.Settings.Listen.Peers)
	if err != nil {
		return errors.Trace(err)
	}

	operations, err := sidecar.Listen.openHTTP(ctx, sidecar.Settings.Listen.Operations)
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
	startBackgroundTasks(serving, sidecar.BackgroundTasks)

	sidecar.Log.WithField("Peers", listener.Addr()).Info("Serving.")

	return servePeers(serving, listener, sidecar.Services)
}

// serveOperations serves health checks and metrics until the context ends.
func (sidecar *Sidecar) serveOperations(ctx context.Context, listener net.Listener, leaving <-chan struct{}) {
	mux := http.NewServeMux()
	sidecar.Meter.Register(mux)

	gracefulStop := NewGracefulStop(0)
	server := &http.Server{Handler: gracefulStop.Wrap(mux), ReadHeaderTimeout: headerTimeout}

	go func() {
		<-leaving
		gracefulStop.leaving.Store(true)
		<-ctx.Done()
		server.Close()
	}()

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		sidecar.Log.WithError(err).Error("Operations server failed; health checks and metrics are no longer served.")
	}
}
