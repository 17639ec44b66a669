package app

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/batcher"
	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/gossiper"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/matcher"
	"limpetrail/meter"
	"limpetrail/placer"
	"limpetrail/platform"
	"limpetrail/registrar"
	"limpetrail/relayer"
)

func newGatewayMeter(settings loader.Gateway) *meter.Meter {
	return meter.NewMeter(settings.Instance.Name, settings.Instance.DataCentre)
}

// newGatewayCommon logs to standard output, and never waits for its reader.
func newGatewayCommon(settings loader.Gateway, metrics *meter.Meter) (kernel.Common, error) {
	logger, err := newOutputLogger(settings.Log)
	if err != nil {
		return kernel.Common{}, errors.Trace(err)
	}

	return kernel.NewCommon(settings.Instance.Name, settings.Instance.DataCentre, logger, metrics.Scope), nil
}

func newOutputLogger(level loader.Log) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level.Level)
	if err != nil {
		return nil, errors.Annotate(err, "log level")
	}

	logger := logrus.New()
	logger.SetOutput(kernel.NewWriter(os.Stdout))
	logger.SetFormatter(kernel.Formatter{})
	logger.SetLevel(parsed)

	return logger, nil
}

// newRelay knows the seeds but this process itself.
func newRelay(common kernel.Common, settings loader.Gateway) *relayer.Relay {
	seeds := []string{}

	for _, seed := range strings.Split(settings.Listen.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" && seed != settings.Listen.Operations {
			seeds = append(seeds, seed)
		}
	}

	return relayer.NewRelay(common, seeds)
}

func newCatalogClient(common kernel.Common, settings loader.Gateway, relay *relayer.Relay) (*keeper.CatalogClient, error) {
	factory, err := keeper.Catalogs.Find(settings.Catalog.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	catalog, err := factory(common, settings.Catalog.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return keeper.NewCatalogClient(common, catalog, settings.Calls, keeper.WithRelay(relay)), nil
}

func newExchanger(common kernel.Common) *exchanger.Exchanger {
	return exchanger.NewExchanger(common)
}

func newGossiper(common kernel.Common, places *placer.Placer, settings loader.Gateway) *gossiper.Gossiper {
	return gossiper.NewGossiper(common, places, settings.Listen.Peers)
}

// newMember describes this process, under an incarnation that no earlier one
// had.
func newMember(settings loader.Gateway) registrar.Member {
	return registrar.Member{
		Name:        settings.Instance.Name,
		Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		Address:     settings.Listen.Peers,
		Operations:  settings.Listen.Operations,
		DataCentre:  settings.Instance.DataCentre,
	}
}

func newBatcher(common kernel.Common, client *keeper.CatalogClient, places *placer.Placer, backend forwarder.Backend, configuration *matcher.Current, member registrar.Member, settings loader.Gateway) *batcher.Batcher {
	return batcher.NewBatcher(common, client, places, backend, configuration, member.Process(), settings.Jobs)
}

func newGatewayHandler(configuration *matcher.Current, calls *forwarder.Forwarder, jobs *platform.JobHandler) *platform.Handler {
	return platform.NewHandler(configuration, calls.Forward, jobs)
}
