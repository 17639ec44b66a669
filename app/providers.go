package app

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/admitter"
	"limpetrail/archiver"
	"limpetrail/claimer"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/driver"
	"limpetrail/executor"
	"limpetrail/fencer"
	"limpetrail/handler"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/meter"
	"limpetrail/observer"
	"limpetrail/planner"
	"limpetrail/presenter"
	"limpetrail/publisher"
	"limpetrail/router"
	"limpetrail/scheduler"
	"limpetrail/submitter"
)

func newEntryMeter(settings loader.Entry) *meter.Meter {
	return meter.NewMeter(settings.Instance.Name, settings.Instance.DataCentre)
}

func newSidecarMeter(settings loader.Sidecar) *meter.Meter {
	return meter.NewMeter(settings.Instance.Name, settings.Instance.DataCentre)
}

func newCommon(instance loader.Instance, level loader.Log, metrics *meter.Meter) (kernel.Common, error) {
	parsed, err := logrus.ParseLevel(level.Level)
	if err != nil {
		return kernel.Common{}, errors.Annotate(err, "log level")
	}

	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetFormatter(kernel.Formatter{})
	logger.SetLevel(parsed)

	return kernel.NewCommon(instance.Name, instance.DataCentre, logger, metrics.Scope), nil
}

func newEntryCommon(settings loader.Entry, metrics *meter.Meter) (kernel.Common, error) {
	return newCommon(settings.Instance, settings.Log, metrics)
}

func newSidecarCommon(settings loader.Sidecar, metrics *meter.Meter) (kernel.Common, error) {
	return newCommon(settings.Instance, settings.Log, metrics)
}

func newEntryStore(common kernel.Common, settings loader.Entry) (keeper.Store, error) {
	return newStore(common, settings.KeyValue, settings.Calls)
}

// newStore wraps the platform's key-value adapter in a client with call limits.
func newStore(common kernel.Common, platform loader.PlatformService, calls keeper.Settings) (keeper.Store, error) {
	factory, err := keeper.StoreAdapters.Find(platform.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	store, err := factory(common, platform.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return keeper.NewClient(common, store, calls), nil
}

func newEntryInstanceList(common kernel.Common, settings loader.Entry) (locator.List, error) {
	return newInstanceList(common, settings.Instances)
}

func newSidecarInstanceList(common kernel.Common, settings loader.Sidecar) (locator.List, error) {
	return newInstanceList(common, settings.Instances)
}

func newInstanceList(common kernel.Common, platform loader.PlatformService) (locator.List, error) {
	factory, err := locator.Adapters.Find(platform.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return factory(common, platform.Address)
}

func newRouter(common kernel.Common) *router.Router {
	return router.NewRouter(common)
}

func newDialer() *dialer.Dialer {
	return dialer.NewDialer()
}

func newDispatcher(common kernel.Common, settings loader.Entry, routes *router.Router, peerDialer *dialer.Dialer) *dispatcher.Dispatcher {
	return dispatcher.NewDispatcher(common, routes, peerDialer, dispatcher.WithSettings(settings.Dispatch))
}

func newClaimer(common kernel.Common, store keeper.Store, requests *dispatcher.Dispatcher) *claimer.Claimer {
	return claimer.NewClaimer(common, store, requests)
}

func newRoutes(inference *handler.Inference, batches *submitter.Submitter, operators *observer.Observer, metrics *meter.Meter, configuration *presenter.API, console *presenter.Console) []handler.Routes {
	return []handler.Routes{inference, batches, operators, metrics, configuration, console}
}

func newAdaptive(settings loader.Sidecar) *admitter.Adaptive {
	return admitter.NewAdaptive(admitter.WithPlaces(settings.BackendServer.Places))
}

// backend is the adapter for the sidecar's backend server; exactly one field is set.
type backend struct {
	engine  driver.Engine
	service driver.Service
}

func newBackend(common kernel.Common, settings loader.Sidecar) (backend, error) {
	server := settings.BackendServer

	if server.Kind == "Engine" {
		factory, err := driver.EngineAdapters.Find(server.Adapter)
		if err != nil {
			return backend{}, errors.Trace(err)
		}

		engine, err := factory(common, server.Address)

		return backend{engine: engine}, errors.Trace(err)
	}

	factory, err := driver.ServiceAdapters.Find(server.Adapter)
	if err != nil {
		return backend{}, errors.Trace(err)
	}

	service, err := factory(common, server.Address)

	return backend{service: service}, errors.Trace(err)
}

func newExecutor(ctx context.Context, common kernel.Common, settings loader.Sidecar, server backend, admission admitter.Admitter) *executor.Executor {
	options := []executor.Option{executor.WithSettings(settings.Execute)}
	if server.engine != nil {
		options = append(options, executor.WithEngine(server.engine))
	} else {
		options = append(options, executor.WithService(server.service))
	}

	return executor.NewExecutor(ctx, common, admission, options...)
}

// newFencer returns nil for a plain service, which accepts no orders.
func newFencer(common kernel.Common, server backend, store keeper.Store) *fencer.Fencer {
	if server.engine == nil {
		return nil
	}

	return fencer.NewFencer(common, server.engine, store)
}

func newServer(runs *executor.Executor, orders *fencer.Fencer) *executor.Server {
	if orders == nil {
		return executor.NewServer(runs)
	}

	return executor.NewServer(runs, executor.WithOrders(orders))
}

func newSidecarBackgroundTasks(documents *publisher.Publisher, peers *locator.Peers, policies *PolicyFollower, orders *fencer.Fencer) []BackgroundTask {
	tasks := []BackgroundTask{documents, peers, policies}
	if orders != nil {
		tasks = append(tasks, orders)
	}

	return tasks
}

func newPlanner(common kernel.Common, settings loader.Entry, store keeper.Store, list locator.List, documents *publisher.Publisher, peerDialer *dialer.Dialer) *planner.Planner {
	return planner.NewPlanner(common, settings.Plan, store, list, documents, peerDialer)
}

func newEntryBackgroundTasks(documents *publisher.Publisher, peers *locator.Peers, plans *planner.Planner) []BackgroundTask {
	return []BackgroundTask{documents, peers, plans}
}

func newSidecarStore(common kernel.Common, settings loader.Sidecar) (keeper.Store, error) {
	return newStore(common, settings.KeyValue, settings.Calls)
}

func newEntryServices(timeLine *messenger.TimeLine, documents *publisher.DocumentServer, jobs *scheduler.Server, segments *archiver.Server) []messenger.Service {
	return []messenger.Service{timeLine, documents, jobs, segments}
}

func newSidecarServices(server *executor.Server, timeLine *messenger.TimeLine, documents *publisher.DocumentServer) []messenger.Service {
	return []messenger.Service{server, timeLine, documents}
}

func newTimeLine(common kernel.Common) *messenger.TimeLine {
	return messenger.NewTimeLine(common.Recorder)
}
