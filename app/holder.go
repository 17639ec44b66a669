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
)

// emptyInterval is how often a holder that is to be emptied looks whether it is.
const emptyInterval = 100 * time.Millisecond

// Holder is the process of an instance with a disk: it keeps jobs that were
// accepted while the store was away.
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
	// Reread returns the settings as the file has them now.
	Reread func() (loader.Holder, error)

	retiring sync.Once
}

// Run serves until the context ends.
func (holder *Holder) Run(ctx context.Context) error {
	listener, err := holder.Listen.callers(ctx, holder.Settings.Listen.Operations)
	if err != nil {
		return errors.Trace(err)
	}

	duties := sync.WaitGroup{}
	duties.Go(func() { holder.Registrar.Run(ctx) })
	duties.Go(func() { holder.Custodian.Run(ctx) })
	duties.Go(func() {
		follower.NewFollower(holder.Common, holder.Client, platform.PrefixRetire, holder.applyRetirements(ctx)).Run(ctx)
	})
	duties.Go(func() {
		reloadOnHangup(ctx, holder.Log.Logger, func() (loader.Log, error) {
			settings, err := holder.Reread()

			return settings.Log, err
		})
	})

	go holder.Listen.showMetrics(ctx, holder.Common, holder.Settings.Listen.Metrics, holder.Meter)

	mux := http.NewServeMux()
	holder.Custodian.Register(mux)
	holder.Meter.Register(mux)
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

	// Jobs that are being written are answered before the end.
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), holderStop)
	defer cancel()

	err = server.Shutdown(last)
	duties.Wait()

	return errors.Trace(err)
}

// holderStop bounds the end of a holder; a disk may stall.
const holderStop = 3 * time.Second

// applyRetirements empties the holder when the operators want it.
func (holder *Holder) applyRetirements(ctx context.Context) func(follower.Copy) {
	return func(copied follower.Copy) {
		if _, wanted := copied[holder.Instance]; wanted {
			holder.retiring.Do(func() { go holder.retire(ctx) })
		}
	}
}

// retire accepts nothing more, and says so once the store has all jobs.
func (holder *Holder) retire(ctx context.Context) {
	holder.Log.Info("This instance is to be emptied.")
	holder.Custodian.StopAccepting()

	for kernel.Pause(ctx, emptyInterval) {
		if !holder.Custodian.IsEmpty() {
			continue
		}

		transaction, err := platform.Retired(holder.Instance)
		if err == nil {
			_, err = holder.Client.Transact(ctx, transaction)
		}

		holder.Log.WithFields(logrus.Fields{"Error": err}).Info("This instance is empty and may be taken away.")

		if err == nil {
			return
		}
	}
}
