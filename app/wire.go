//go:build wireinject

package app

import (
	"context"

	"github.com/google/wire"

	"limpetrail/archiver"
	"limpetrail/handler"
	"limpetrail/loader"
	"limpetrail/observer"
	"limpetrail/publisher"
	"limpetrail/puller"
	"limpetrail/scheduler"
	"limpetrail/submitter"
)

// NewEntry wires an entry from its settings.
func NewEntry(settings loader.Entry) (*Entry, error) {
	panic(wire.Build(
		newEntryMeter,
		newEntryCommon,
		newEntryStore,
		newList,
		newRouter,
		newDialer,
		newDispatcher,
		newClaimer,
		newRoutes,
		newTimeLine,
		newEntryServices,
		newPlanner,
		newEntryDuties,
		newEntryPeers,
		newArchive,
		newScheduler,
		newSubmitter,
		newJanitor,
		scheduler.NewLedger,
		scheduler.NewServer,
		archiver.NewServer,
		archiver.NewClient,
		submitter.NewBroadcast,
		publisher.NewPublisher,
		handler.NewInference,
		observer.NewObserver,
		wire.Struct(new(Entry), "*"),
	))
}

// NewSidecar wires a sidecar from its settings. Its runs end with the context.
func NewSidecar(ctx context.Context, settings loader.Sidecar) (*Sidecar, error) {
	panic(wire.Build(
		newSidecarMeter,
		newSidecarCommon,
		newAdmitter,
		newExecutor,
		newBackend,
		newSidecarStore,
		newFencer,
		newServer,
		newSidecarDuties,
		newTimeLine,
		newSidecarServices,
		newSidecarPeers,
		newDialer,
		newPuller,
		puller.NewClient,
		wire.Struct(new(Sidecar), "*"),
	))
}
