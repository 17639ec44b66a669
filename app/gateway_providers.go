package app

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/attester"
	"limpetrail/batcher"
	"limpetrail/conveyer"
	"limpetrail/custodian"
	"limpetrail/enforcer"
	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/gauger"
	"limpetrail/gossiper"
	"limpetrail/inquirer"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/matcher"
	"limpetrail/meter"
	"limpetrail/placer"
	"limpetrail/platform"
	"limpetrail/quarantiner"
	"limpetrail/registrar"
	"limpetrail/relayer"
	"limpetrail/resumer"
	"limpetrail/stopper"
)

func newGatewayMeter(settings loader.Gateway) *meter.Meter {
	return meter.NewMeter(settings.Instance.Name, settings.Instance.DataCentre)
}

// newGatewayCommon logs to standard output.
func newGatewayCommon(settings loader.Gateway, metrics *meter.Meter) (kernel.Common, error) {
	logger, err := newStdoutLogger(settings.Log)
	if err != nil {
		return kernel.Common{}, errors.Trace(err)
	}

	return kernel.NewCommon(settings.Instance.Name, settings.Instance.DataCentre, logger, metrics.Scope), nil
}

// newStdoutLogger returns a logger that never blocks on a slow reader of standard output.
func newStdoutLogger(level loader.Log) (*logrus.Logger, error) {
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

// newRelay returns a relay that knows all seeds except this process.
func newRelay(common kernel.Common, settings loader.Gateway) *relayer.Relay {
	return relayer.NewRelay(common, parseSeeds(settings.Listen.Seeds, settings.Listen.Operations))
}

// parseSeeds splits a comma-separated list of addresses and omits the process's own.
func parseSeeds(list, own string) []string {
	seeds := []string{}

	for _, seed := range strings.Split(list, ",") {
		if seed = strings.TrimSpace(seed); seed != "" && seed != own {
			seeds = append(seeds, seed)
		}
	}

	return seeds
}

func newCatalogClient(common kernel.Common, settings loader.Gateway, relay *relayer.Relay) (*keeper.CatalogClient, error) {
	return newPlatformClient(common, settings.Catalog, settings.Calls, relay)
}

// newPlatformClient wraps the platform's key-value adapter in a client with call limits
// and a relay.
func newPlatformClient(common kernel.Common, platform loader.PlatformService, calls keeper.Settings, relay *relayer.Relay) (*keeper.CatalogClient, error) {
	factory, err := keeper.CatalogAdapters.Find(platform.Adapter)
	if err != nil {
		return nil, errors.Trace(err)
	}

	catalog, err := factory(common, platform.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return keeper.NewCatalogClient(common, catalog, calls, keeper.WithRelay(relay)), nil
}

// newDepositor stores each job on one disk more than the settings allow to be lost at once.
func newDepositor(common kernel.Common, settings loader.Gateway) *custodian.Depositor {
	return custodian.NewDepositor(common, settings.Jobs.LostDisks+1)
}

func newExchanger(common kernel.Common, settings loader.Gateway) *exchanger.Exchanger {
	options := []exchanger.Option{exchanger.WithLimits(settings.Answers)}
	if settings.Memory.Megabytes > 0 {
		options = append(options, exchanger.WithDial((&net.Dialer{Control: boundServerSocket}).DialContext))
	}

	return exchanger.NewExchanger(common, options...)
}

// newQuarantiner takes turns with the entries that report their load.
func newQuarantiner(common kernel.Common, backend quarantiner.Liveness, places *placer.Placer) *quarantiner.Quarantiner {
	return quarantiner.NewQuarantiner(common, backend, quarantiner.WithPeers(places.ReportingPeerNames))
}

// newResumer asks holders for streams that it does not know, also before it knows the members.
func newResumer(common kernel.Common, settings loader.Gateway) *resumer.Resumer {
	return resumer.NewResumer(common, resumer.WithSeeds(parseSeeds(settings.Listen.Seeds, settings.Listen.Operations)))
}

func newStopper(settings loader.Gateway) *stopper.Stopper {
	return stopper.NewStopper(settings.Stop.BalancerLag, settings.Stop.Grace)
}

func newForwarder(common kernel.Common, places *placer.Placer, backend forwarder.Backend, quarantine *quarantiner.Quarantiner, origins *resumer.Resumer, starts *attester.Attester, stop *stopper.Stopper, list *softwareReader) *forwarder.Forwarder {
	return forwarder.NewForwarder(common, places, backend, quarantine, forwarder.WithOrigins(origins), forwarder.WithAttester(starts), forwarder.WithStopper(stop), forwarder.WithServerList(list))
}

func newPlacer(common kernel.Common, settings loader.Gateway) *placer.Placer {
	if !settings.Placement.Learn {
		return placer.NewPlacer(common)
	}

	return placer.NewPlacer(common, placer.WithGauger(gauger.NewGauger()))
}

func newGossiper(common kernel.Common, places *placer.Placer, quarantine *quarantiner.Quarantiner, caps *enforcer.Enforcer, member registrar.Member, settings loader.Gateway) *gossiper.Gossiper {
	created := gossiper.NewGossiper(common, places, settings.Listen.Peers)
	created.Process = member.ProcessID()
	created.Enforcer = caps
	created.Findings, created.ApplyFindings = quarantine.Findings, quarantine.ApplyFindings

	return created
}

// newEnforcer returns nil if the settings name no window: no cap is enforced then.
func newEnforcer(common kernel.Common, registration *registrar.Registrar, settings loader.Gateway) *enforcer.Enforcer {
	if settings.Caps.Window <= 0 {
		return nil
	}

	return enforcer.NewEnforcer(common, settings.Caps, enforcer.WithRegistration(registration.RegistrationValid))
}

// newMember describes this process; its start time makes the incarnation unique.
func newMember(settings loader.Gateway) registrar.Member {
	return registrar.Member{
		Name:        settings.Instance.Name,
		Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		Address:     settings.Listen.Peers,
		Operations:  settings.Listen.Operations,
		DataCentre:  settings.Instance.DataCentre,
	}
}

// newInquirer reuses the relay's connections to other gateways.
func newInquirer(common kernel.Common, relay *relayer.Relay) *inquirer.Inquirer {
	return inquirer.NewInquirer(common, relay.Client)
}

// newConveyer reuses the relay's connections to other gateways.
func newConveyer(common kernel.Common, relay *relayer.Relay) *conveyer.Conveyer {
	return conveyer.NewConveyer(common, relay.Client)
}

func newBatcher(common kernel.Common, client *keeper.CatalogClient, places *placer.Placer, backend forwarder.Backend, quarantine *quarantiner.Quarantiner, starts *attester.Attester, configuration *matcher.CurrentDocument, depositor batcher.Depositor, member registrar.Member, registration *registrar.Registrar, inquiries *inquirer.Inquirer, handovers *conveyer.Conveyer, reports *gossiper.Gossiper, settings loader.Gateway) *batcher.Batcher {
	return batcher.NewBatcher(common, client, places, backend, quarantine, configuration, depositor, member.ProcessID(), registration.RegistrationValid, settings.Jobs, batcher.WithInquirer(inquiries), batcher.WithConveyer(handovers), batcher.WithSilenceCheck(reports.IsSilent), batcher.WithAttester(starts))
}

func newGatewayHandler(common kernel.Common, configuration *matcher.CurrentDocument, forwards *forwarder.Forwarder, jobs *platform.JobHandler, caps *enforcer.Enforcer, settings loader.Gateway) *platform.Handler {
	handler := platform.NewHandler(common, configuration, forwards.Forward, jobs)
	if caps != nil {
		handler.Caps = platform.NewCaps(common, caps)
	}

	if limit := settings.Memory.Megabytes; limit > 0 {
		handler.Memory = platform.NewMemory(common, int64(limit)<<20)
	}

	return handler
}
