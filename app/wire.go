//go:build wireinject

package app

import (
	"context"

	"github.com/google/wire"

	"limpetrail/admitter"
	"limpetrail/archiver"
	"limpetrail/attester"
	"limpetrail/batcher"
	"limpetrail/custodian"
	"limpetrail/forwarder"
	"limpetrail/handler"
	"limpetrail/limiter"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/matcher"
	"limpetrail/observer"
	"limpetrail/platform"
	"limpetrail/presenter"
	"limpetrail/publisher"
	"limpetrail/puller"
	"limpetrail/quarantiner"
	"limpetrail/registrar"
	"limpetrail/relayer"
	"limpetrail/resumer"
	"limpetrail/scheduler"
	"limpetrail/submitter"
)

// NewEntry wires an entry from its settings.
func NewEntry(settings loader.Entry) (*Entry, error) {
	panic(wire.Build(
		NewListen,
		newEntryMeter,
		newEntryCommon,
		newEntryStore,
		newEntryInstanceList,
		newRouter,
		newDialer,
		newDispatcher,
		newClaimer,
		newRoutes,
		newTimeLine,
		newEntryServices,
		newPlanner,
		newEntryBackgroundTasks,
		newPublisher,
		publisher.NewDocumentServer,
		newEditor,
		presenter.NewAPI,
		presenter.NewConsole,
		locator.NewPeers,
		newArchive,
		newScheduler,
		newSubmitter,
		newJanitor,
		scheduler.NewLedger,
		scheduler.NewServer,
		archiver.NewServer,
		archiver.NewClient,
		submitter.NewCancelBroadcaster,
		handler.NewInference,
		observer.NewObserver,
		wire.Struct(new(Entry), "*"),
	))
}

// NewSidecar wires a sidecar from its settings. Its runs end with the context.
func NewSidecar(ctx context.Context, settings loader.Sidecar) (*Sidecar, error) {
	panic(wire.Build(
		NewListen,
		newSidecarMeter,
		newSidecarCommon,
		newAdaptive,
		wire.Bind(new(admitter.Admitter), new(*admitter.Adaptive)),
		NewPolicyFollower,
		newExecutor,
		newBackend,
		newSidecarStore,
		newFencer,
		newServer,
		newSidecarBackgroundTasks,
		newTimeLine,
		newSidecarServices,
		newDialer,
		newPublisher,
		publisher.NewDocumentServer,
		newSidecarInstanceList,
		locator.NewPeers,
		newPuller,
		puller.NewClient,
		wire.Struct(new(Sidecar), "*"),
	))
}

// NewGateway wires a gateway from its settings.
func NewGateway(settings loader.Gateway) (*Gateway, error) {
	panic(wire.Build(
		NewListen,
		newGatewayMeter,
		newGatewayCommon,
		newRelay,
		relayer.NewSharer,
		newDepositor,
		wire.Bind(new(batcher.Depositor), new(*custodian.Depositor)),
		newCatalogClient,
		matcher.NewCurrentDocument,
		limiter.NewLimiter,
		newPlacer,
		newEnforcer,
		newGossiper,
		newMember,
		registrar.NewRegistrar,
		newExchanger,
		newInquirer, newConveyer,
		platform.NewBackend,
		wire.Bind(new(forwarder.Backend), new(*platform.Backend)),
		wire.Bind(new(quarantiner.Liveness), new(*platform.Backend)),
		newQuarantiner,
		wire.Bind(new(attester.Reporter), new(*platform.Backend)),
		attester.NewAttester,
		newStopper,
		newSoftwareReader,
		newForwarder,
		newResumer,
		newBatcher,
		platform.NewJobHandler,
		newGatewayHandler,
		wire.Struct(new(Gateway), "Common", "Settings", "Listen", "Meter", "Client", "Configuration", "Placer", "Gossiper", "Enforcer", "Registrar", "Relay", "Sharer", "Depositor", "Exchanger", "Backend", "Quarantiner", "Batcher", "Handler", "Limiter", "Inquirer", "Conveyer", "Resumer", "Stopper"),
	))
}

// NewHolder wires a holder from its settings.
func NewHolder(settings loader.Holder) (*Holder, error) {
	panic(wire.Build(
		NewListen,
		newHolderMeter,
		newHolderCommon,
		newHolderRelay,
		newHolderClient,
		newHolderMember,
		registrar.NewRegistrar,
		newHolderFolder,
		newCustodian,
		newCopies,
		resumer.NewCollector,
		wire.Struct(new(Holder), "Common", "Settings", "Listen", "Meter", "Client", "Relay", "Registrar", "Custodian", "Copies", "Collector"),
	))
}
