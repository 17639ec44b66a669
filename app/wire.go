//go:build wireinject

package app

import (
	"context"

	"github.com/google/wire"

	"limpetrail/handler"
	"limpetrail/loader"
	"limpetrail/observer"
	"limpetrail/presenter"
	"limpetrail/publisher"
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
		newEntryPublisher,
		publisher.NewDocuments,
		newEditor,
		presenter.NewAPI,
		presenter.NewConsole,
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
		newDialer,
		newSidecarPublisher,
		publisher.NewDocuments,
		wire.Struct(new(Sidecar), "*"),
	))
}
