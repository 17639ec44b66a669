package app

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/admitter"
	"limpetrail/claimer"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/driver"
	"limpetrail/executor"
	"limpetrail/handler"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/meter"
	"limpetrail/observer"
	"limpetrail/router"
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

// newStore puts the process's client in front of the platform's adapter.
func newStore(common kernel.Common, platform loader.Platform, calls keeper.Settings) (keeper.Store, error) {
	factory, err := keeper.Adapters.Find(platform.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	store, err := factory(common, platform.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return keeper.NewClient(common, store, calls), nil
}

func newList(common kernel.Common, settings loader.Entry) (locator.List, error) {
	factory, err := locator.Adapters.Find(settings.Instances.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return factory(common, settings.Instances.Address)
}

func newRouter(common kernel.Common) *router.Router {
	return router.NewRouter(common)
}

func newDialer() *dialer.Dialer {
	return dialer.NewDialer()
}

func newDispatcher(common kernel.Common, settings loader.Entry, routes *router.Router, connections *dialer.Dialer) *dispatcher.Dispatcher {
	return dispatcher.NewDispatcher(common, routes, connections, dispatcher.WithSettings(settings.Dispatch))
}

func newClaimer(common kernel.Common, store keeper.Store, calls *dispatcher.Dispatcher) *claimer.Claimer {
	return claimer.NewClaimer(common, store, calls)
}

func newRoutes(inference *handler.Inference, operators *observer.Observer, metrics *meter.Meter) []handler.Routes {
	return []handler.Routes{inference, operators, metrics}
}

func newAdmitter(settings loader.Sidecar) admitter.Admitter {
	return admitter.NewFixed(settings.BackendServer.Places)
}

func newExecutor(ctx context.Context, common kernel.Common, settings loader.Sidecar, admission admitter.Admitter) (*executor.Executor, error) {
	options := []executor.Option{executor.WithSettings(settings.Execute)}
	server := settings.BackendServer

	switch server.Kind {
	case "Engine":
		factory, err := driver.Adapters.Find(server.Adapter)
		if err != nil {
			return nil, errors.Trace(err)
		}

		engine, err := factory(common, server.Address)
		if err != nil {
			return nil, errors.Trace(err)
		}

		options = append(options, executor.WithEngine(engine))
	case "Service":
		factory, err := driver.ServiceAdapters.Find(server.Adapter)
		if err != nil {
			return nil, errors.Trace(err)
		}

		service, err := factory(common, server.Address)
		if err != nil {
			return nil, errors.Trace(err)
		}

		options = append(options, executor.WithService(service))
	default:
		return nil, errors.NotValidf("BackendServer.Kind %q (allowed: Engine, Service)", server.Kind)
	}

	return executor.NewExecutor(ctx, common, admission, options...), nil
}

func newEntryServices(timeLine *messenger.TimeLine) []messenger.Service {
	return []messenger.Service{timeLine}
}

func newSidecarServices(server *executor.Server, timeLine *messenger.TimeLine) []messenger.Service {
	return []messenger.Service{server, timeLine}
}

func newTimeLine(common kernel.Common) *messenger.TimeLine {
	return messenger.NewTimeLine(common.Recorder)
}
