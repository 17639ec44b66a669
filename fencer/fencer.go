package fencer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/driver"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

const (
	// leaseMargin is left of a planner's lease when its order is obeyed, for
	// the drift of two monotonic clocks and the way of the order.
	leaseMargin = 500 * time.Millisecond
	// modelsInterval is how often the engine is asked what it has loaded.
	modelsInterval = 2 * time.Second
	fetchPause     = time.Second
)

// Fencer passes orders to one engine.
type Fencer struct {
	kernel.Common
	Engine driver.Engine
	Store  keeper.Store

	// orders serialises orders, so that the engine sees them in the order of
	// their fencing numbers.
	orders sync.Mutex

	mutex sync.Mutex
	// highest is the highest fencing number seen; it never falls.
	highest uint64
	// fetched is set once the number in the key-value service was read after
	// this start. Until then no order is obeyed.
	fetched bool
	models  []string
}

// NewFencer returns a fencer that obeys nobody until it has read the newest
// planner's fencing number; see Run.
func NewFencer(common kernel.Common, engine driver.Engine, store keeper.Store) *Fencer {
	return &Fencer{Common: common.ForPart("fencer"), Engine: engine, Store: store}
}

// Run reads the newest planner's number once, then follows what the engine has
// loaded, until the context ends.
func (fencer *Fencer) Run(ctx context.Context) {
	for !fencer.fetch(ctx) {
		if !kernel.Pause(ctx, fetchPause) {
			return
		}
	}

	for {
		fencer.refresh(ctx)

		if !kernel.Pause(ctx, modelsInterval) {
			return
		}
	}
}

// Models lists what the engine had loaded when it was last asked.
func (fencer *Fencer) Models() []string {
	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	return fencer.models
}

// Take passes an order to the engine if it comes from the newest planner whose
// lease still holds.
func (fencer *Fencer) Take(ctx context.Context, request *messenger.OrderRequest) *messenger.OrderReply {
	arrived := time.Now()

	fencer.orders.Lock()
	defer fencer.orders.Unlock()

	lease := time.Duration(request.GetLeaseMicros()) * time.Microsecond

	err := fencer.admit(request.GetFence(), arrived.Add(lease-leaseMargin))
	if err == nil {
		err = fencer.Engine.Order(ctx, driver.Order{
			Fence:   request.GetFence(),
			Verb:    driver.Verb(request.GetVerb()),
			Model:   request.GetModel(),
			Version: request.GetVersion(),
			Adapter: request.GetAdapter(),
			Role:    request.GetRole(),
		})
	}

	fencer.refresh(ctx)

	return fencer.reply(request, err)
}

// admit checks an order right before it goes to the engine.
func (fencer *Fencer) admit(fence uint64, until time.Time) error {
	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	switch {
	case !fencer.fetched:
		return errors.Forbiddenf("orders before the newest fencing number is known")
	case fence < fencer.highest:
		return errors.Forbiddenf("fencing number %d after %d", fence, fencer.highest)
	case time.Now().After(until):
		return errors.Forbiddenf("order whose sender's lease has ended")
	}

	fencer.highest = fence

	return nil
}

func (fencer *Fencer) reply(request *messenger.OrderRequest, err error) *messenger.OrderReply {
	fencer.mutex.Lock()
	highest := fencer.highest
	fencer.mutex.Unlock()

	reply := &messenger.OrderReply{Obeyed: err == nil, HighestFence: highest}
	if err != nil {
		reply.Reason = err.Error()
	}

	fencer.Recorder.Record(recorder.Event{Part: "fencer", Kind: recorder.KindOrdered, Details: []string{
		"Verb=" + request.GetVerb(),
		"Model=" + request.GetModel() + "@" + request.GetVersion(),
		"Fence=" + strconv.FormatUint(request.GetFence(), 10),
		"Obeyed=" + strconv.FormatBool(reply.GetObeyed()),
		"Reason=" + reply.GetReason(),
	}})

	return reply
}

func (fencer *Fencer) fetch(ctx context.Context) bool {
	mark, _, err := ReadMark(ctx, fencer.Store)
	if err != nil {
		fencer.Log.WithError(err).Warn("No fencing number yet; no order is obeyed.")

		return false
	}

	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	fencer.highest = max(fencer.highest, mark.Fence)
	fencer.fetched = true

	return true
}

// refresh asks the engine what it has loaded; a failed question keeps the last
// answer.
func (fencer *Fencer) refresh(ctx context.Context) {
	load, err := fencer.Engine.Load(ctx)
	if err != nil {
		return
	}

	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	fencer.models = load.Models
}
