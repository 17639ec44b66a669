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
	"limpetrail/registrar"
	"limpetrail/relayer"
)

const (
	// checkInterval is how often suspect backend servers are checked.
	checkInterval = 400 * time.Millisecond
	// headsPause gathers changes of jobs' heads into one watch, in a large fleet for
	// longestHeadsPause. An ended job has to stop within three seconds.
	headsPause        = 1300 * time.Millisecond
	longestHeadsPause = 2200 * time.Millisecond
	// serversPause gathers backend servers that start or leave together, in a large
	// fleet for longestPause. One that leaves gets no work two seconds later.
	serversPause = 300 * time.Millisecond
	longestPause = time.Second
	// longestMembersPause gathers members that come and go, as many do when processes
	// are stopped in turn. Loads are heard meanwhile.
	longestMembersPause = 2 * time.Second
	// calmPeers are heard, and no call has failed for calmTime, where watches wait
	// long: a silent one is noticed by what the others see.
	calmPeers = 8
	calmTime  = 10 * time.Second
	// watchRate is how many watches of a prefix that changes all the time a whole
	// fleet makes a second.
	watchRate = 20
	// membersWait is long: who shares the servers is heard, and the jobs of a
	// member that is gone are taken over by whoever notices first.
	membersWait = 6 * time.Second
	// silenceMargin is what a watch may take longer than its wait, and as much
	// again for the answer to the next one.
	silenceMargin = time.Second
	// leastWait of a watch keeps processes from asking without pause, whatever
	// the settings say.
	leastWait = 500 * time.Millisecond
	// trimInterval is how often idle connections are looked through.
	trimInterval = time.Second
	// stopMargin is left of the grace at a planned stop, for the last log lines.
	stopMargin = 500 * time.Millisecond
	// memoryShare of the limit is where the collector starts to work harder.
	memoryShare = 0.7
)

// Gateway is an entry that reaches backend servers itself.
type Gateway struct {
	kernel.Common
	Settings      loader.Gateway
	Listen        Listen
	Meter         *meter.Meter
	Client        *keeper.CatalogClient
	Configuration *matcher.Current
	Placer        *placer.Placer
	Gossiper      *gossiper.Gossiper
	Registrar     *registrar.Registrar
	Relay         *relayer.Relay
	Sharer        *relayer.Sharer
	Depositor     *custodian.Depositor
	Exchanger     *exchanger.Exchanger
	Backend       *platform.Backend
	Batcher       *batcher.Batcher
	Handler       *platform.Handler
	Limiter       *limiter.Limiter
	Inquirer      *inquirer.Inquirer
	Conveyer      *conveyer.Conveyer

	// Reread returns the settings as the file has them now.
	Reread func() (loader.Gateway, error)

	leaving atomic.Bool
	// copies are the followers by their prefixes; written once before serving.
	copies map[string]*follower.Follower
	// servers reads the list of backend servers; only its follower uses it.
	servers *serverList
	// known is how many members were listed last.
	known atomic.Int64
	// complained holds the revisions of items that were logged as unreadable.
	complaints sync.Mutex
	complained map[string]keeper.Revision
}

// Run serves until the context ends, then lets running requests finish.
func (gateway *Gateway) Run(ctx context.Context) error {
	if limit := gateway.Settings.Memory.Megabytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit<<20)))
	}

	gateway.complained = map[string]keeper.Revision{}
	gateway.servers = newServerList()

	callers, err := gateway.Listen.callers(ctx, gateway.Settings.Listen.Callers)
	if err != nil {
		return errors.Trace(err)
	}

	ready, err := gateway.Listen.callers(ctx, gateway.Settings.Listen.Ready)
	if err != nil {
		return errors.Trace(err)
	}

	operations, err := gateway.Listen.callers(ctx, gateway.Settings.Listen.Operations)
	if err != nil {
		return errors.Trace(err)
	}

	// What requests need goes on while they finish.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	duties := sync.WaitGroup{}
	gateway.startDuties(ctx, serving, &duties)

	server := gateway.Limiter.NewServer(gateway.farewell(gateway.Handler))
	served := make(chan error, 3)

	go gateway.Listen.showMetrics(serving, gateway.Common, gateway.Settings.Listen.Metrics, gateway.Meter)

	go func() { served <- server.Serve(gateway.Limiter.WrapListener(callers)) }()
	go func() { served <- gateway.serve(serving, ready, http.HandlerFunc(gateway.ready)) }()
	go func() { served <- gateway.serve(serving, operations, gateway.operations()) }()

	gateway.Log.WithFields(logrus.Fields{"Callers": callers.Addr(), "Operations": operations.Addr()}).Info("Serving.")

	select {
	case err := <-served:
		return errors.Annotate(err, "serving")
	case <-ctx.Done():
	}

	gateway.stop(serving, server)
	duties.Wait()

	return nil
}

// stop takes the process out of the balancer, lets running requests finish and
// ends within the grace.
func (gateway *Gateway) stop(ctx context.Context, server *http.Server) {
	gateway.Log.WithField("Grace", gateway.Settings.Stop.Grace).Info("Stopping.")
	gateway.leaving.Store(true)

	ctx, cancel := context.WithTimeout(ctx, gateway.Settings.Stop.Grace-stopMargin)
	defer cancel()

	kernel.Pause(ctx, gateway.Settings.Stop.BalancerLag)

	if err := server.Shutdown(ctx); err != nil {
		gateway.Log.WithError(err).Warn("Requests are cut off at the end of the grace.")

		return
	}

	gateway.Log.Info("Stopped; every request was answered.")
}

// startDuties starts what goes on beside requests. Batch work and registration
// end with the signal, the rest with the process.
func (gateway *Gateway) startDuties(ctx, serving context.Context, duties *sync.WaitGroup) {
	// Jobs are given to others before the entry in the list of members goes.
	duties.Go(func() {
		registered, leave := context.WithCancel(serving)
		listed := sync.WaitGroup{}
		listed.Go(func() { gateway.Registrar.Run(registered) })

		gateway.Batcher.Run(ctx)
		leave()
		listed.Wait()
	})

	for _, follower := range gateway.followers() {
		go follower.Run(serving)
	}

	go func() {
		if err := gateway.Gossiper.Run(serving); err != nil {
			gateway.Log.WithError(err).Error("Other entries do not hear from this one.")
		}
	}()
	go reloadOnHangup(serving, gateway.Log.Logger, func() (loader.Log, error) {
		settings, err := gateway.Reread()

		return settings.Log, err
	})
	go gateway.Sharer.Run(serving)
	go gateway.check(serving)
	go gateway.trim(serving)
}

// check asks suspect backend servers whether they are back.
func (gateway *Gateway) check(ctx context.Context) {
	for kernel.Pause(ctx, checkInterval) {
		for _, server := range gateway.Placer.SuspectServers() {
			document := gateway.Configuration.Document()
			if document == nil {
				continue
			}

			healthy, leaves := gateway.Backend.Check(ctx, server, document.Services[server.Service].HealthPath)
			if leaves {
				gateway.Placer.MarkLeaving(server, "health check")
			}

			if healthy && !leaves {
				gateway.Placer.RecordPassedCheck(server)
			}
		}
	}
}

func (gateway *Gateway) trim(ctx context.Context) {
	for kernel.Pause(ctx, trimInterval) {
		gateway.Exchanger.CloseStale()
	}
}

// ready tells the balancer whether to send callers here.
func (gateway *Gateway) ready(writer http.ResponseWriter, _ *http.Request) {
	if gateway.leaving.Load() || gateway.Configuration.Document() == nil || !gateway.Placer.HasServers() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (gateway *Gateway) operations() http.Handler {
	mux := http.NewServeMux()
	gateway.Meter.Register(mux)
	mux.HandleFunc("GET "+PathStatus, gateway.status)
	mux.Handle("POST "+inquirer.Path, inquirer.NewServer(gateway.Common, gateway.Batcher.Librarian))
	mux.Handle("POST "+conveyer.Path, conveyer.NewServer(gateway.Common, gateway.Batcher.AcceptHandover))
	mux.Handle("POST "+relayer.PathCatalog, relayer.NewServer(gateway.Common, gateway.Client.WithoutRelay(), gateway.copied))

	return mux
}

func (gateway *Gateway) serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })

	defer stop()

	return errors.Trace(server.Serve(listener))
}

// farewell asks callers to close their connections while the process leaves.
func (gateway *Gateway) farewell(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if gateway.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}

		handler.ServeHTTP(writer, request)
	})
}
