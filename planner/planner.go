package planner

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"limpetrail/dialer"
	"limpetrail/driver"
	"limpetrail/fencer"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/publisher"
	"limpetrail/recorder"
)

const (
	// LeaseKey is the key of the lease that allows one entry to plan.
	LeaseKey = "limpetrail/planner/lease"

	helloTimeout         = 2 * time.Second
	orderTimeout         = 10 * time.Second
	maxConcurrentHellos  = 16
	renewalsPerLease     = 3
	secondsPerMinute     = 60
	documentPollInterval = time.Second
)

// errLeaseLost ends a round: the remaining orders are not sent.
const errLeaseLost = errors.ConstError("this entry no longer holds the planner lease")

// Planner sends orders to the replicas while it holds the planner lease.
type Planner struct {
	kernel.Common
	Settings  Settings
	Store     keeper.Store
	List      locator.List
	Publisher *publisher.Publisher
	Dialer    *dialer.Dialer

	loadLimiter *rate.Limiter

	mutex sync.Mutex
	// fence is the fencing number of the last granted lease.
	fence uint64
	// expiresAt is when that lease expires by this process's monotonic clock,
	// counted from before the request was sent.
	expiresAt time.Time
}

// NewPlanner returns a planner that is started by Run.
func NewPlanner(common kernel.Common, settings Settings, store keeper.Store, list locator.List, documents *publisher.Publisher, connections *dialer.Dialer) *Planner {
	return &Planner{
		Common:      common.ForPart("planner"),
		Settings:    settings,
		Store:       store,
		List:        list,
		Publisher:   documents,
		Dialer:      connections,
		loadLimiter: rate.NewLimiter(rate.Limit(settings.LoadsPerMinute/secondsPerMinute), 1),
	}
}

// Run runs planning rounds while this entry holds the lease, until the context
// ends.
func (planner *Planner) Run(ctx context.Context) {
	go planner.maintainLease(ctx)

	for ctx.Err() == nil {
		revision := planner.Publisher.Current().Revision

		if planner.remainingLease() > 0 {
			if err := planner.runRound(ctx); err != nil {
				planner.Log.WithError(err).Warn("Planning round ended early.")
			}
		}

		planner.waitForNextRound(ctx, revision)
	}
}

// waitForNextRound returns when the document has changed since the revision,
// when Settings.Interval has passed or when the context ends.
func (planner *Planner) waitForNextRound(ctx context.Context, revision keeper.Revision) {
	for deadline := time.Now().Add(planner.Settings.Interval); time.Now().Before(deadline); {
		select {
		case <-time.After(documentPollInterval):
		case <-ctx.Done():
			return
		}

		if planner.Publisher.Current().Revision != revision {
			return
		}
	}
}

// maintainLease acquires the lease and renews it. Entries without it ask
// rarely, after a random pause: with many entries one of them still asks soon
// after the lease has expired.
func (planner *Planner) maintainLease(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		pause := planner.Settings.Lease / renewalsPerLease

		lease, err := planner.Store.Acquire(ctx, LeaseKey, planner.Instance, planner.Settings.Lease)

		switch {
		case err == nil && lease.Granted:
			planner.recordLease(lease.Fence, requestedAt.Add(planner.Settings.Lease))
		case err == nil:
			pause = planner.Settings.Standby/2 + rand.N(planner.Settings.Standby)
		}

		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (planner *Planner) recordLease(fence uint64, expiresAt time.Time) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()

	if planner.fence != fence {
		planner.Log.WithField("Fence", fence).Info("Planning.")
		planner.Recorder.Record(recorder.Event{Part: "planner", Kind: recorder.KindTakenOver})
	}

	planner.fence, planner.expiresAt = fence, expiresAt
}

// remainingLease returns the time until the lease expires, by the monotonic
// clock; it is negative after that.
func (planner *Planner) remainingLease() time.Duration {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()

	return time.Until(planner.expiresAt)
}

// runRound asks every replica that is not leaving what it has loaded and sends the
// orders that follow from the document.
func (planner *Planner) runRound(ctx context.Context) error {
	planner.mutex.Lock()
	fence := planner.fence
	planner.mutex.Unlock()

	// The fencing number is stored before any order is sent: a sidecar that
	// restarts reads it and refuses the orders of an earlier planner.
	if err := fencer.RaiseFence(ctx, planner.Store, fencer.FenceRecord{Fence: fence, Holder: planner.Instance}); err != nil {
		return errors.Trace(err)
	}

	instances, err := planner.List.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	addresses, states := planner.queryReplicas(ctx, instances)

	for _, order := range Plan(planner.Publisher.Current().Index, states) {
		order.Order.Fence = fence

		err := planner.sendOrder(ctx, addresses[order.Instance], order)
		if errors.Is(err, errLeaseLost) {
			return errors.Trace(err)
		}

		if err != nil {
			planner.Log.WithError(err).WithField("Replica", order.Instance).Warn("Order to the replica failed; the next round retries it.")
		}
	}

	return nil
}

// queryReplicas asks every replica that is not leaving what it has loaded. It returns
// the addresses by instance and the states in order of instance. A replica that does
// not answer is skipped until the next round.
func (planner *Planner) queryReplicas(ctx context.Context, instances []locator.Instance) (map[string]string, []ReplicaState) {
	var (
		mutex     sync.Mutex
		addresses = map[string]string{}
		states    = []ReplicaState{}
		group     = errgroup.Group{}
	)

	group.SetLimit(maxConcurrentHellos)

	for _, instance := range instances {
		if instance.Entry || instance.Leaving {
			continue
		}

		group.Go(func() error {
			reply, err := planner.queryReplica(ctx, instance.Address)
			if err != nil {
				return nil
			}

			mutex.Lock()
			defer mutex.Unlock()

			addresses[instance.Name] = instance.Address
			states = append(states, ReplicaState{Instance: instance.Name, Service: instance.Service, Models: reply.GetModels()})

			return nil
		})
	}

	// The functions of the group return no errors.
	_ = group.Wait()

	slices.SortFunc(states, func(left, right ReplicaState) int { return strings.Compare(left.Instance, right.Instance) })

	return addresses, states
}

func (planner *Planner) queryReplica(ctx context.Context, address string) (*messenger.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	conn, err := planner.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Hello(ctx, &messenger.HelloRequest{Clock: planner.timestamp()})

	return reply, errors.Trace(err)
}

// sendOrder sends one order; a load order first waits for the rate limiter. The
// error is errLeaseLost when the replica has seen a higher fencing number or this
// entry's lease has expired.
func (planner *Planner) sendOrder(ctx context.Context, address string, order ReplicaOrder) error {
	if order.Order.Verb == driver.VerbLoad {
		if err := planner.loadLimiter.Wait(ctx); err != nil {
			return errors.Trace(err)
		}
	}

	remaining := planner.remainingLease()
	if remaining <= 0 {
		return errors.Annotate(errLeaseLost, "the lease has expired")
	}

	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	conn, err := planner.Dialer.Dial(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Order(ctx, &messenger.OrderRequest{
		Clock:       planner.timestamp(),
		Fence:       order.Order.Fence,
		Verb:        string(order.Order.Verb),
		Model:       order.Order.Model,
		Version:     order.Order.Version,
		Adapter:     order.Order.Adapter,
		Role:        order.Order.Role,
		LeaseMicros: uint64(remaining.Microseconds()),
	})
	if err != nil {
		return errors.Trace(err)
	}

	if reply.GetHighestFence() > order.Order.Fence {
		return errors.Annotate(errLeaseLost, reply.GetReason())
	}

	if !reply.GetObeyed() {
		return errors.Forbiddenf("replica %s refused the order: %s", order.Instance, reply.GetReason())
	}

	return nil
}

func (planner *Planner) timestamp() uint64 {
	return uint64(planner.Recorder.Clock.Now())
}
