package app

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/custodian"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/meter"
	"limpetrail/platform"
	"limpetrail/registrar"
	"limpetrail/relayer"
	"limpetrail/resumer"
)

// emptyCheckInterval is how often a retiring holder checks whether it is empty.
const emptyCheckInterval = 100 * time.Millisecond

// Holder is the process on an instance with a disk. It stores jobs that were accepted
// while the key-value service was unavailable.
type Holder struct {
	kernel.Common
	Settings  loader.Holder
	Listen    Listen
	Meter     *meter.Meter
	Client    *keeper.CatalogClient
	Relay     *relayer.Relay
	Registrar *registrar.Registrar
	Custodian *custodian.Custodian
	Copies    *relayer.Copies
	Collector *resumer.Collector
	// ReloadSettings reads the settings file again.
	ReloadSettings func() (loader.Holder, error)

	retireOnce sync.Once
}

// Run serves until the context ends.
func (holder *Holder) Run(ctx context.Context) error {
	listener, err := holder.Listen.openHTTP(ctx, holder.Settings.Listen.Operations)
	if err != nil {
		return errors.Trace(err)
	}

	tasks := sync.WaitGroup{}
	tasks.Go(func() { holder.Registrar.Run(ctx) })
	tasks.Go(func() { holder.Custodian.Run(ctx) })
	tasks.Go(func() {
		if err := holder.Collector.Run(ctx, holder.Settings.Listen.Operations); err != nil {
			holder.Log.WithError(err).Error("Cannot receive records of streams; entries that ask this holder for one get none.")
		}
	})
	tasks.Go(func() {
		follower.NewFollower(holder.Common, holder.Client, platform.PrefixRetirements, holder.applyRetirements(ctx), follower.WithVerification(holder.Settings.Follow.ApplyWithin, nil)).Run(ctx)
	})
	tasks.Go(func() {
		follower.NewFollower(holder.Common, holder.Client, registrar.MembersPrefix+holder.Registrar.Member.Name, holder.checkOwnEntry, follower.WithWatchWait(ownEntryWatchWait), follower.WithVerification(membersBound, nil)).Run(ctx)
	})
	tasks.Go(func() {
		reloadLogLevelOnHangup(ctx, holder.Log.Logger, func() (loader.Log, error) {
			settings, err := holder.ReloadSettings()

			return settings.Log, err
		})
	})

	go holder.Listen.serveMetrics(ctx, holder.Common, holder.Settings.Listen.Metrics, holder.Meter)

	mux := http.NewServeMux()
	holder.Custodian.Register(mux)
	holder.Meter.Register(mux)
	mux.Handle("GET "+resumer.Path, holder.Collector)
	mux.Handle("POST "+relayer.PathCopies, holder.Copies)
	mux.Handle("GET "+relayer.PathCopies, holder.Copies)
	mux.Handle("POST "+relayer.PathCatalog, relayer.NewServer(holder.Common, holder.Client.WithoutRelay(), holder.Copies.Get))

	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)

	go func() { served <- server.Serve(listener) }()

	holder.Log.WithField("Operations", listener.Addr()).Info("Serving.")

	select {
	case err := <-served:
		return errors.Annotate(err, "serving")
	case <-ctx.Done():
	}

	holder.Log.Info("Stopping.")

	// Requests that are still running, such as one to store a job, are answered first.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holderStopTimeout)
	defer cancel()

	err = server.Shutdown(shutdownCtx)
	tasks.Wait()

	return errors.Trace(err)
}

// holderStopTimeout limits how long a stopping holder waits for requests, as a disk
// may stall.
const holderStopTimeout = 3 * time.Second

// ownEntryWatchWait is how long a holder waits for changes of its own entry. The platform rarely
// removes one.
const ownEntryWatchWait = 20 * time.Second

// checkOwnEntry lets a missing or different entry of this process in the list of members be written
// again. Entries of members whose names begin with this one's are in the copy too.
func (holder *Holder) checkOwnEntry(current follower.Copy) {
	own := follower.Copy{}
	if item, found := current[""]; found {
		own[holder.Registrar.Member.Name] = item
	}

	members, err := registrar.DecodeMembers(own)
	if err != nil {
		holder.Log.WithError(err).Warn("The record of this member cannot be decoded and is written again.")
	}

	holder.Registrar.CheckEntry(members)
}

// applyRetirements retires the holder once operators have requested it.
func (holder *Holder) applyRetirements(ctx context.Context) func(follower.Copy) {
	return func(current follower.Copy) {
		if _, requested := current[holder.Instance]; requested {
			holder.retireOnce.Do(func() { go holder.retire(ctx) })
		}
	}
}

// retire stops accepting jobs. Once all jobs are delivered to the key-value service, it
// records there that the instance may be removed.
func (holder *Holder) retire(ctx context.Context) {
	holder.Log.Info("Retirement was requested; accepting no more jobs and delivering the held ones.")
	holder.Custodian.StopAccepting()

	for kernel.Pause(ctx, emptyCheckInterval) {
		if !holder.Custodian.IsEmpty() {
			continue
		}

		transaction, err := platform.NewRetirementTransaction(holder.Instance)
		if err == nil {
			_, err = holder.Client.Transact(ctx, transaction)
		}

		holder.Log.WithFields(logrus.Fields{"Error": err}).Info("All held jobs are delivered; attempted to record that this instance may be removed.")

		if err == nil {
			return
		}
	}
}
