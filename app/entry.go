package app

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/negroni/v3"

	"limpetrail/claimer"
	"limpetrail/dialer"
	"limpetrail/handler"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/router"
	"limpetrail/scheduler"
)

const (
	instanceListInterval = time.Second
	headerTimeout        = 10 * time.Second
	claimsTimeout        = 5 * time.Second
)

// Entry is the process that receives callers' requests and dispatches them to sidecars.
type Entry struct {
	kernel.Common
	Settings        loader.Entry
	Listen          Listen
	Router          *router.Router
	Dialer          *dialer.Dialer
	List            locator.List
	Claimer         *claimer.Claimer
	Routes          []handler.Routes
	BackgroundTasks []BackgroundTask
	// Services are the RPC services that this process offers to its peers.
	Services  []messenger.Service
	Scheduler *scheduler.Scheduler
	Janitor   *scheduler.Janitor
}

// Run serves until the context ends, then lets running requests finish.
func (entry *Entry) Run(ctx context.Context) error {
	defer entry.Dialer.Close()

	listener, err := entry.Listen.openHTTP(ctx, entry.Settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}

	peers, err := entry.Listen.openPeers(ctx, entry.Settings.Listen.Peers)
	if err != nil {
		return errors.Trace(err)
	}

	// Running requests still need the peer server and the background tasks during the
	// stop, so those end after them.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	gracefulStop := NewGracefulStop(entry.Settings.Listen.BalancerLag)
	server := &http.Server{Handler: gracefulStop.Wrap(entry.handler()), ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 2)

	startBackgroundTasks(serving, entry.BackgroundTasks)
	go entry.followInstanceList(serving)
	go entry.Janitor.Run(ctx)

	jobs := sync.WaitGroup{}
	jobs.Go(func() { entry.Scheduler.Run(ctx) })

	defer jobs.Wait()

	go func() { served <- server.Serve(listener) }()
	go func() { served <- servePeers(serving, peers, entry.Services) }()

	entry.Log.WithField("Callers", listener.Addr()).Info("Serving.")

	select {
	case err := <-served:
		return errors.Annotate(err, "serving")
	case <-ctx.Done():
		entry.Log.Info("Stopping.")

		err := gracefulStop.Stop(serving, server)
		entry.waitForClaims()

		return err
	}
}

// waitForClaims waits up to claimsTimeout until the results of requests with an
// idempotency key are recorded. A result that is not recorded can still be read
// from its sidecar.
func (entry *Entry) waitForClaims() {
	recorded := make(chan struct{})

	go func() {
		entry.Claimer.Wait()
		close(recorded)
	}()

	select {
	case <-recorded:
	case <-time.After(claimsTimeout):
		entry.Log.Warn("Stopping before all results of requests with an idempotency key were recorded.")
	}
}

func (entry *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	for _, routes := range entry.Routes {
		routes.Register(mux)
	}

	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(handler.RefuseUncleanPaths(mux))

	return chain
}

// followInstanceList polls the platform's list of instances and updates the routes.
func (entry *Entry) followInstanceList(ctx context.Context) {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()

	for {
		instances, err := entry.List.Instances(ctx)
		if err != nil {
			entry.Log.WithError(err).Warn("Instance list cannot be read; the last one stays in use.")
		} else {
			entry.Router.Update(sidecarReplicas(instances))
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sidecarReplicas returns the instances that are sidecars, as replicas to route to.
func sidecarReplicas(instances []locator.Instance) []router.Replica {
	replicas := []router.Replica{}

	for _, instance := range instances {
		if !instance.Entry {
			replicas = append(replicas, router.Replica{
				Name:       instance.Name,
				Address:    instance.Address,
				DataCentre: instance.DataCentre,
				Service:    instance.Service,
				Leaving:    instance.Leaving,
			})
		}
	}

	return replicas
}
