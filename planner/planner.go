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
	// LeaseKey is the lease of the one entry that plans.
	LeaseKey = "limpetrail/planner/lease"

	askTimeout      = 2 * time.Second
	orderTimeout    = 10 * time.Second
	asksAtOnce      = 16
	renewalsALease  = 3
	secondsAMinute  = 60
	documentPolling = time.Second
)

// errReplaced is the cause that ends a round for good.
const errReplaced = errors.ConstError("this entry plans no longer")

// Planner plans orders while it holds the lease.
type Planner struct {
	kernel.Common
	Settings  Settings
	Store     keeper.Store
	List      locator.List
	Publisher *publisher.Publisher
	Dialer    *dialer.Dialer

	loads *rate.Limiter

	mutex sync.Mutex
	// fence is that of the lease last granted.
	fence uint64
	// until is when that lease ends by this process's monotonic clock, counted
	// from before it was asked for.
	until time.Time
}

// NewPlanner returns a planner; Run makes it work.
func NewPlanner(common kernel.Common, settings Settings, store keeper.Store, list locator.List, documents *publisher.Publisher, connections *dialer.Dialer) *Planner {
	return &Planner{
		Common:    common.ForPart("planner"),
		Settings:  settings,
		Store:     store,
		List:      list,
		Publisher: documents,
		Dialer:    connections,
		loads:     rate.NewLimiter(rate.Limit(settings.LoadsPerMinute/secondsAMinute), 1),
	}
}

// Run plans whenever this entry holds the lease, until the context ends.
func (planner *Planner) Run(ctx context.Context) {
	go planner.renew(ctx)

	for ctx.Err() == nil {
		revision := planner.Publisher.Current().Revision

		if planner.remaining() > 0 {
			if err := planner.round(ctx); err != nil {
				planner.Log.WithError(err).Warn("Planning stopped early.")
			}
		}

		planner.rest(ctx, revision)
	}
}

// rest waits for the next look: a new document or the interval.
func (planner *Planner) rest(ctx context.Context, revision keeper.Revision) {
	for end := time.Now().Add(planner.Settings.Interval); time.Now().Before(end); {
		select {
		case <-time.After(documentPolling):
		case <-ctx.Done():
			return
		}

		if planner.Publisher.Current().Revision != revision {
			return
		}
	}
}

// renew takes and keeps the lease. Entries without it ask rarely, each at a
// time of its own: with many of them one asks soon after the lease has ended.
func (planner *Planner) renew(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		pause := planner.Settings.Lease / renewalsALease

		lease, err := planner.Store.Acquire(ctx, LeaseKey, planner.Instance, planner.Settings.Lease)

		switch {
		case err == nil && lease.Granted:
			planner.hold(lease.Fence, asked.Add(planner.Settings.Lease))
		case err == nil:
			pause = planner.Settings.Standby/2 + rand.N(planner.Settings.Standby)
		}

		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (planner *Planner) hold(fence uint64, until time.Time) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()

	if planner.fence != fence {
		planner.Log.WithField("Fence", fence).Info("Planning.")
		planner.Recorder.Record(recorder.Event{Part: "planner", Kind: recorder.KindTakenOver})
	}

	planner.fence, planner.until = fence, until
}

// remaining is how much of the lease is left, by the monotonic clock.
func (planner *Planner) remaining() time.Duration {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()

	return time.Until(planner.until)
}

// round looks at every replica once and sends the orders it needs.
func (planner *Planner) round(ctx context.Context) error {
	planner.mutex.Lock()
	fence := planner.fence
	planner.mutex.Unlock()

	// The mark comes first: a sidecar that restarts learns of this planner
	// before it can obey an older one.
	if err := fencer.RaiseFence(ctx, planner.Store, fencer.FenceRecord{Fence: fence, Holder: planner.Instance}); err != nil {
		return errors.Trace(err)
	}

	instances, err := planner.List.Instances(ctx)
	if err != nil {
		return errors.Trace(err)
	}

	addresses, states := planner.look(ctx, instances)

	for _, step := range Plan(planner.Publisher.Current().Index, states) {
		step.Order.Fence = fence

		err := planner.send(ctx, addresses[step.Instance], step)
		if errors.Is(err, errReplaced) {
			return errors.Trace(err)
		}

		if err != nil {
			planner.Log.WithError(err).WithField("Replica", step.Instance).Warn("Order not obeyed; the next round tries again.")
		}
	}

	return nil
}

// look asks every replica what it has loaded. One that does not answer is left
// for the next round.
func (planner *Planner) look(ctx context.Context, instances []locator.Instance) (map[string]string, []State) {
	var (
		mutex     sync.Mutex
		addresses = map[string]string{}
		states    = []State{}
		group     = errgroup.Group{}
	)

	group.SetLimit(asksAtOnce)

	for _, instance := range instances {
		if instance.Entry || instance.Leaving {
			continue
		}

		group.Go(func() error {
			reply, err := planner.ask(ctx, instance.Address)
			if err != nil {
				return nil
			}

			mutex.Lock()
			defer mutex.Unlock()

			addresses[instance.Name] = instance.Address
			states = append(states, State{Instance: instance.Name, Service: instance.Service, Models: reply.GetModels()})

			return nil
		})
	}

	// The functions return no errors.
	_ = group.Wait()

	slices.SortFunc(states, func(left, right State) int { return strings.Compare(left.Instance, right.Instance) })

	return addresses, states
}

func (planner *Planner) ask(ctx context.Context, address string) (*messenger.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	conn, err := planner.Dialer.Fresh(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Hello(ctx, &messenger.HelloRequest{Clock: planner.now()})

	return reply, errors.Trace(err)
}

// send paces and sends one order. The cause is errReplaced when another entry
// plans by now, or this one's lease has ended.
func (planner *Planner) send(ctx context.Context, address string, step Step) error {
	if step.Order.Verb == driver.VerbLoad {
		if err := planner.loads.Wait(ctx); err != nil {
			return errors.Trace(err)
		}
	}

	remaining := planner.remaining()
	if remaining <= 0 {
		return errors.Annotate(errReplaced, "lease has ended")
	}

	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	conn, err := planner.Dialer.Fresh(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	defer conn.Close()

	reply, err := messenger.NewDRPCSidecarClient(conn).Order(ctx, &messenger.OrderRequest{
		Clock:       planner.now(),
		Fence:       step.Order.Fence,
		Verb:        string(step.Order.Verb),
		Model:       step.Order.Model,
		Version:     step.Order.Version,
		Adapter:     step.Order.Adapter,
		Role:        step.Order.Role,
		LeaseMicros: uint64(remaining.Microseconds()),
	})
	if err != nil {
		return errors.Trace(err)
	}

	if reply.GetHighestFence() > step.Order.Fence {
		return errors.Annotate(errReplaced, reply.GetReason())
	}

	if !reply.GetObeyed() {
		return errors.Forbiddenf("order to %s: %s", step.Instance, reply.GetReason())
	}

	return nil
}

func (planner *Planner) now() uint64 {
	return uint64(planner.Recorder.Clock.Now())
}
