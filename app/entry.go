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
	instancesInterval = time.Second
	headerTimeout     = 10 * time.Second
	claimsPatience    = 5 * time.Second
)

// Entry is a process between callers and sidecars.
type Entry struct {
	kernel.Common
	Settings loader.Entry
	Listen   Listen
	Router   *router.Router
	Dialer   *dialer.Dialer
	List     locator.List
	Claimer  *claimer.Claimer
	Routes   []handler.Routes
	Duties   []Duty
	// Services are what peers may call.
	Services  []messenger.Service
	Scheduler *scheduler.Scheduler
	Janitor   *scheduler.Janitor
}

// Run serves until the context ends, then lets running requests finish.
func (entry *Entry) Run(ctx context.Context) error {
	defer entry.Dialer.Close()

	listener, err := entry.Listen.callers(ctx, entry.Settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}

	peers, err := entry.Listen.peers(ctx, entry.Settings.Listen.Peers)
	if err != nil {
		return errors.Trace(err)
	}

	// Peers and the followers of the platform go on while requests finish.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	departure := NewDeparture(entry.Settings.Listen.BalancerLag)
	server := &http.Server{Handler: departure.Wrap(entry.handler()), ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 2)

	startDuties(serving, entry.Duties)
	go entry.locate(serving)
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

		err := departure.Stop(serving, server)
		entry.settleClaims()

		return err
	}
}

// settleClaims gives the last results of keyed requests the time to be
// recorded. One that is not recorded can still be asked of its sidecar.
func (entry *Entry) settleClaims() {
	settled := make(chan struct{})

	go func() {
		entry.Claimer.Wait()
		close(settled)
	}()

	select {
	case <-settled:
	case <-time.After(claimsPatience):
		entry.Log.Warn("Results of keyed requests are left unrecorded.")
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

// locate follows the platform's list of instances.
func (entry *Entry) locate(ctx context.Context) {
	ticker := time.NewTicker(instancesInterval)
	defer ticker.Stop()

	for {
		instances, err := entry.List.Instances(ctx)
		if err != nil {
			entry.Log.WithError(err).Warn("No instance list; the last one stays.")
		} else {
			entry.Router.Update(replicas(instances))
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func replicas(instances []locator.Instance) []router.Replica {
	found := []router.Replica{}

	for _, instance := range instances {
		if !instance.Entry {
			found = append(found, router.Replica{
				Name:       instance.Name,
				Address:    instance.Address,
				DataCentre: instance.DataCentre,
				Service:    instance.Service,
				Leaving:    instance.Leaving,
			})
		}
	}

	return found
}
