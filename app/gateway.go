package app

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/batcher"
	"limpetrail/conveyer"
	"limpetrail/custodian"
	"limpetrail/enforcer"
	"limpetrail/exchanger"
	"limpetrail/follower"
	"limpetrail/gossiper"
	"limpetrail/inquirer"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/limiter"
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

const (
	// checkInterval is how often suspect backend servers are checked.
	checkInterval = 400 * time.Millisecond
	// headsPause before each watch of the jobs' heads gathers several changes into one
	// answer; a large fleet pauses up to maxHeadsPause. The work on an ended job must
	// still stop within three seconds.
	headsPause    = 1300 * time.Millisecond
	maxHeadsPause = 2200 * time.Millisecond
	// serversPause does the same for backend servers that start or leave together; a large
	// fleet pauses up to maxServersPause. A leaving server must get no work two seconds
	// later.
	serversPause    = 300 * time.Millisecond
	maxServersPause = time.Second
	// maxMembersPause does the same for the members, many of which change when processes
	// are stopped in turn. Load reports arrive meanwhile.
	maxMembersPause = 2 * time.Second
	// Long watches are used only while at least longWatchMinPeers peers report and no
	// call has failed for longWatchFailureFreeTime: the lists that the gateways make in turn
	// then reveal a watch that missed a change, whichever of them makes it.
	longWatchMinPeers        = 2
	longWatchFailureFreeTime = 10 * time.Second
	// fleetWatchesPerSecond limits the whole fleet's watches of one prefix that changes
	// constantly.
	fleetWatchesPerSecond = 20
	// membersWatchWait may be long: load reports show which members share the backend
	// servers, and the first process to notice a lost member takes over its jobs.
	membersWatchWait = 6 * time.Second
	// membersBound is the time within which a change of the members must be detected even if
	// watches receive nothing: the same as for a watch whose answer was lost.
	membersBound = membersWatchWait
	// headsBound is the platform's bound for work on an ended job.
	headsBound = 3 * time.Second
	// watchSilenceMargin is subtracted from the time in which a lost watch must be noticed:
	// the answer may take longer than the wait, and the next watch takes time too.
	watchSilenceMargin = time.Second
	// minWatchWait keeps processes from watching in a tight loop, whatever the settings.
	minWatchWait = 500 * time.Millisecond
	// staleConnectionsInterval is how often stale idle connections are closed.
	staleConnectionsInterval = time.Second
	// memoryLimitShare of the configured memory limit is the garbage collector's soft
	// limit, above which it runs more often.
	memoryLimitShare = 0.6
)

// Gateway is an entry that calls backend servers directly, without sidecars.
type Gateway struct {
	kernel.Common
	Settings      loader.Gateway
	Listen        Listen
	Meter         *meter.Meter
	Client        *keeper.CatalogClient
	Configuration *matcher.CurrentDocument
	Placer        *placer.Placer
	Gossiper      *gossiper.Gossiper
	// Enforcer is nil if the settings enforce no caps.
	Enforcer    *enforcer.Enforcer
	Registrar   *registrar.Registrar
	Relay       *relayer.Relay
	Sharer      *relayer.Sharer
	Depositor   *custodian.Depositor
	Exchanger   *exchanger.Exchanger
	Backend     *platform.Backend
	Quarantiner *quarantiner.Quarantiner
	Batcher     *batcher.Batcher
	Handler     *platform.Handler
	Limiter     *limiter.Limiter
	Inquirer    *inquirer.Inquirer
	Conveyer    *conveyer.Conveyer
	Resumer     *resumer.Resumer
	Stopper     *stopper.Stopper

	// ReloadSettings reads the settings file again.
	ReloadSettings func() (loader.Gateway, error)

	// followersByPrefix is written once, before serving.
	followersByPrefix map[string]*follower.Follower
	// servers decodes the list of backend servers; only its follower uses it.
	servers *serverList
	// memberCount is the number of members in the last list.
	memberCount atomic.Int64
	// loggedRevisions holds, by key, the revisions of items that were logged as
	// unreadable. loggedMutex guards it.
	loggedMutex     sync.Mutex
	loggedRevisions map[string]keeper.Revision
}

// Run serves until the context ends, then lets running requests finish.
func (gateway *Gateway) Run(ctx context.Context) error {
	if limit := gateway.Settings.Memory.Megabytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit<<20)))
	}

	gateway.loggedRevisions = map[string]keeper.Revision{}
	gateway.servers = newServerList()

	callers, err := gateway.openCallers(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	ready, err := gateway.Listen.openHTTP(ctx, gateway.Settings.Listen.Ready)
	if err != nil {
		return errors.Trace(err)
	}

	operations, err := gateway.Listen.openHTTP(ctx, gateway.Settings.Listen.Operations)
	if err != nil {
		return errors.Trace(err)
	}

	// Running requests still need the background tasks during the stop, so those end after
	// them.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	tasks := sync.WaitGroup{}
	gateway.startBackgroundTasks(ctx, serving, &tasks)

	server := gateway.Limiter.NewServer(gateway.endWithStop(gateway.Handler))
	served := make(chan error, 3)

	go gateway.Listen.serveMetrics(serving, gateway.Common, gateway.Settings.Listen.Metrics, gateway.Meter)

	go func() { served <- server.Serve(gateway.Limiter.WrapListener(callers)) }()
	go func() { served <- gateway.serveUntilDone(serving, ready, http.HandlerFunc(gateway.serveReadiness)) }()
	go func() { served <- gateway.serveUntilDone(serving, operations, gateway.operationsHandler()) }()

	gateway.Log.WithFields(logrus.Fields{"Callers": callers.Addr(), "Operations": operations.Addr()}).Info("Serving.")

	select {
	case err := <-served:
		return errors.Annotate(err, "serving")
	case <-ctx.Done():
	}

	gateway.stop(serving, callers)
	tasks.Wait()

	return nil
}

// openCallers opens the listener for callers. Their sockets hold little if the memory is limited.
func (gateway *Gateway) openCallers(ctx context.Context) (net.Listener, error) {
	var control SocketControl
	if gateway.Settings.Memory.Megabytes > 0 {
		control = boundCallerSocket
	}

	listener, err := gateway.Listen(ctx, gateway.Settings.Listen.Callers, control)

	return listener, errors.Annotate(err, "listening for callers")
}

// stop fails the readiness check, waits until the load balancer has noticed and lets
// running requests finish, all within the grace.
func (gateway *Gateway) stop(ctx context.Context, callers net.Listener) {
	gateway.Log.WithField("Grace", gateway.Settings.Stop.Grace).Info("Stopping.")
	gateway.Stopper.Begin()

	ctx, cancel := context.WithDeadline(ctx, gateway.Stopper.ExitAt())
	defer cancel()

	kernel.Pause(ctx, gateway.Settings.Stop.BalancerLag)

	if err := callers.Close(); err != nil {
		gateway.Log.WithError(err).Warn("Listener for callers was not closed.")
	}

	defer gateway.Gossiper.End(ctx)

	if err := gateway.Limiter.Drain(ctx); err != nil {
		gateway.Log.WithError(err).Warn("Stop grace expired; requests that still run are cut off.")

		return
	}

	gateway.Log.Info("Stopped; every request was answered.")
}

// startBackgroundTasks starts the work beside requests. Batch work ends when the process
// is told to stop (ctx), and registration after it; the rest ends after the last request
// (serving).
func (gateway *Gateway) startBackgroundTasks(ctx, serving context.Context, tasks *sync.WaitGroup) {
	// Jobs are handed over to other gateways before this one leaves the list of members.
	tasks.Go(func() {
		registered, unregister := context.WithCancel(serving)
		registration := sync.WaitGroup{}
		registration.Go(func() { gateway.Registrar.Run(registered) })

		gateway.Batcher.Run(ctx)
		unregister()
		registration.Wait()
	})

	for _, follower := range gateway.followers() {
		go follower.Run(serving)
	}

	go func() {
		if err := gateway.Gossiper.Run(serving); err != nil {
			gateway.Log.WithError(err).Error("Cannot start the exchange of load reports; other gateways get none from this one.")
		}
	}()
	go reloadLogLevelOnHangup(serving, gateway.Log.Logger, func() (loader.Log, error) {
		settings, err := gateway.ReloadSettings()

		return settings.Log, err
	})
	go gateway.Sharer.Run(serving)
	go gateway.checkSuspectServers(serving)
	go gateway.closeStaleConnections(serving)
}

// checkSuspectServers health-checks suspect backend servers until the context ends.
func (gateway *Gateway) checkSuspectServers(ctx context.Context) {
	for kernel.Pause(ctx, checkInterval) {
		gateway.Placer.CheckSuspects(ctx, gateway.isHealthy)
	}
}

// isHealthy health-checks a backend server.
func (gateway *Gateway) isHealthy(ctx context.Context, server placer.Server) bool {
	document := gateway.Configuration.Document()
	if document == nil {
		return false
	}

	healthy, leaving := gateway.Backend.Check(ctx, server, document.Services[server.Service].HealthPath)
	if leaving {
		gateway.Placer.MarkLeaving(server, "health check")
	}

	return healthy && !leaving
}

func (gateway *Gateway) closeStaleConnections(ctx context.Context) {
	for kernel.Pause(ctx, staleConnectionsInterval) {
		gateway.Exchanger.CloseStale()
	}
}

// serveReadiness tells the load balancer whether to send requests to this process.
func (gateway *Gateway) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if gateway.Stopper.HasBegun() || gateway.Configuration.Document() == nil || !gateway.Placer.HasServers() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// operationsHandler serves operators and other gateways.
func (gateway *Gateway) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	gateway.Meter.Register(mux)
	mux.HandleFunc("GET "+PathStatus, gateway.serveStatus)
	mux.Handle("POST "+inquirer.Path, inquirer.NewServer(gateway.Common, gateway.Batcher.Librarian))
	mux.Handle("POST "+conveyer.Path, conveyer.NewServer(gateway.Common, gateway.Batcher.AcceptHandover))
	mux.Handle("POST "+relayer.PathCatalog, relayer.NewServer(gateway.Common, gateway.Client.WithoutRelay(), gateway.snapshot))

	return mux
}

// serveUntilDone serves a listener until the context ends.
func (gateway *Gateway) serveUntilDone(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })

	defer stop()

	return errors.Trace(server.Serve(listener))
}

// endWithStop asks callers to close their connections during the stop, and ends the requests that
// still run at its end.
func (gateway *Gateway) endWithStop(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if gateway.Stopper.HasBegun() {
			writer.Header().Set("Connection", "close")
		}

		ctx, release := gateway.Stopper.Context(request.Context())
		defer release()

		handler.ServeHTTP(writer, request.WithContext(ctx))
	})
}
