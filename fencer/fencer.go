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
	// leaseMargin is how much of a planner's lease must remain when its order
	// goes to the engine. It allows for drift between the two monotonic clocks
	// and for the order's time in transit.
	leaseMargin = 500 * time.Millisecond
	// modelsInterval is how often the engine is asked for its loaded models.
	modelsInterval = 2 * time.Second
	// fetchRetryInterval is the pause between attempts to read the fencing
	// number.
	fetchRetryInterval = time.Second
)

// Fencer checks the planner's orders to one engine and passes them on.
type Fencer struct {
	kernel.Common
	Engine driver.Engine
	Store  keeper.Store

	// orders serialises orders, so that the engine receives them in the order
	// of their fencing numbers.
	orders sync.Mutex

	mutex sync.Mutex
	// highestFence is the highest fencing number seen; it never decreases.
	highestFence uint64
	// fetched is set once the fencing number has been read from the key-value
	// service after this start. Until then all orders are refused.
	fetched bool
	models  []string
}

// NewFencer returns a fencer that refuses all orders until Run has read the
// newest planner's fencing number.
func NewFencer(common kernel.Common, engine driver.Engine, store keeper.Store) *Fencer {
	return &Fencer{Common: common.ForPart("fencer"), Engine: engine, Store: store}
}

// Run reads the newest planner's fencing number, then polls the engine for its
// loaded models until the context ends.
func (fencer *Fencer) Run(ctx context.Context) {
	for !fencer.fetchFence(ctx) {
		if !kernel.Pause(ctx, fetchRetryInterval) {
			return
		}
	}

	for {
		fencer.refreshModels(ctx)

		if !kernel.Pause(ctx, modelsInterval) {
			return
		}
	}
}

// LoadedModels lists the models that the engine had loaded at the last poll.
func (fencer *Fencer) LoadedModels() []string {
	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	return fencer.models
}

// ExecuteOrder passes an order to the engine if it comes from the newest planner and
// that planner's lease is still valid.
func (fencer *Fencer) ExecuteOrder(ctx context.Context, request *messenger.OrderRequest) *messenger.OrderReply {
	received := time.Now()

	fencer.orders.Lock()
	defer fencer.orders.Unlock()

	lease := time.Duration(request.GetLeaseMicros()) * time.Microsecond

	err := fencer.check(request.GetFence(), received.Add(lease-leaseMargin))
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

	fencer.refreshModels(ctx)

	return fencer.reply(request, err)
}

// check decides whether an order may go to the engine, right before it does.
func (fencer *Fencer) check(fence uint64, deadline time.Time) error {
	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	switch {
	case !fencer.fetched:
		return errors.Forbiddenf("orders before the newest fencing number is known")
	case fence < fencer.highestFence:
		return errors.Forbiddenf("fencing number %d after %d", fence, fencer.highestFence)
	case time.Now().After(deadline):
		return errors.Forbiddenf("order whose sender's lease has ended")
	}

	fencer.highestFence = fence

	return nil
}

func (fencer *Fencer) reply(request *messenger.OrderRequest, err error) *messenger.OrderReply {
	fencer.mutex.Lock()
	highest := fencer.highestFence
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

// fetchFence reads the newest planner's fencing number and reports whether that
// worked.
func (fencer *Fencer) fetchFence(ctx context.Context) bool {
	stored, _, err := ReadFence(ctx, fencer.Store)
	if err != nil {
		fencer.Log.WithError(err).Warn("Cannot read the fencing number from the key-value service; orders are refused until it is read.")

		return false
	}

	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	fencer.highestFence = max(fencer.highestFence, stored.Fence)
	fencer.fetched = true

	return true
}

// refreshModels asks the engine for its loaded models. If that fails, the
// previous list stays.
func (fencer *Fencer) refreshModels(ctx context.Context) {
	load, err := fencer.Engine.Load(ctx)
	if err != nil {
		return
	}

	fencer.mutex.Lock()
	defer fencer.mutex.Unlock()

	fencer.models = load.Models
}
