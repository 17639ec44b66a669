package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// shareInterval is how long changes are collected before they are offered to
	// holders, and shareJitter the maximum of what is added at random: all gateways see a
	// change at the same moment, and once the first has sent it the others need not.
	// Together they stay below the shortest time in which an operator makes two
	// changes by hand.
	shareInterval = 300 * time.Millisecond
	shareJitter   = 700 * time.Millisecond
	// failureLogInterval is the minimum time between two log lines about failed offers;
	// an operator sees a new failure within seconds.
	failureLogInterval = 5 * time.Second
	// shareTimeout bounds each request to a holder, whose disk may stall.
	shareTimeout = time.Second
	// idlePerHolder is the maximum number of idle connections to each holder.
	idlePerHolder = 2
)

// Sharer sends changed copies to the holders.
type Sharer struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// holders are addresses, and pending the copies to offer to them, by prefix.
	holders []string
	pending map[string]keeper.Page
	// sending is set while copies are offered and sent to holders.
	sending bool
	// newest holds the last copy of each prefix, for holders that are added later.
	newest map[string]keeper.Page
	// failureLog limits the log lines about failed offers.
	failureLog *kernel.LogLimiter
}

// NewSharer returns a sharer without holders.
func NewSharer(common kernel.Common) *Sharer {
	return &Sharer{
		Common:     common.ForPart("relayer"),
		Client:     &http.Client{Timeout: shareTimeout, Transport: kernel.NewTransport(&net.Dialer{}, idlePerHolder)},
		pending:    map[string]keeper.Page{},
		newest:     map[string]keeper.Page{},
		failureLog: kernel.NewLogLimiter(failureLogInterval),
	}
}

// SetHolders replaces the addresses of the holders. If there are more than before,
// all copies are offered again.
func (sharer *Sharer) SetHolders(addresses []string) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	if len(addresses) > len(sharer.holders) {
		for prefix, page := range sharer.newest {
			sharer.pending[prefix] = page
		}
	}

	sharer.holders = addresses
}

// Share queues a copy for the holders.
func (sharer *Sharer) Share(prefix string, items []keeper.Item, revision keeper.Revision) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	page := keeper.Page{Items: items, Revision: revision}
	sharer.pending[prefix], sharer.newest[prefix] = page, page
}

// Run offers queued copies to the holders until the context ends.
func (sharer *Sharer) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(shareInterval + rand.N(shareJitter)):
		case <-ctx.Done():
			return
		}

		holders, pending := sharer.takePending()
		for prefix, page := range pending {
			sharer.offerToAll(ctx, holders, Copy{Prefix: prefix, Page: page})
		}

		sharer.finishRound()
	}
}

// offerToAll offers the copy to all holders concurrently, so that an unresponsive one
// doesn't delay the others.
func (sharer *Sharer) offerToAll(ctx context.Context, holders []string, offered Copy) {
	offers := sync.WaitGroup{}
	for _, holder := range holders {
		offers.Go(func() { sharer.offerTo(ctx, holder, offered) })
	}

	offers.Wait()
}

// offerTo sends the copy to a holder that needs it. If that fails or the holder doesn't
// accept it yet, the newest copy of the prefix is offered in the next round.
func (sharer *Sharer) offerTo(ctx context.Context, holder string, offered Copy) {
	status, err := sharer.askHolder(ctx, holder, offered)

	switch {
	case err != nil || status == http.StatusNoContent:
	case status == http.StatusTooManyRequests:
		sharer.requeue(offered.Prefix)
	default:
		err = sharer.send(ctx, holder, offered)
	}

	if err == nil {
		return
	}

	sharer.requeue(offered.Prefix)

	if offers := sharer.failureLog.CountEvent(); offers > 0 {
		sharer.Log.WithFields(logrus.Fields{
			"Holder": holder, "Prefix": offered.Prefix, "Revision": offered.Page.Revision, "Offers": offers,
		}).WithError(err).Warn("Copy could not be sent to a holder and will be offered again.")
	}
}

// requeue queues the newest copy of the prefix for the next round.
func (sharer *Sharer) requeue(prefix string) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	sharer.pending[prefix] = sharer.newest[prefix]
}

// askHolder asks a holder whether it needs a copy and returns the status of its answer;
// Copies.answerOffer lists them.
func (sharer *Sharer) askHolder(ctx context.Context, holder string, offered Copy) (int, error) {
	query := url.Values{
		prefixField:   {offered.Prefix},
		revisionField: {strconv.FormatInt(int64(offered.Page.Revision), 10)},
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder+PathCopies+"?"+query.Encode(), nil)
	if err != nil {
		return 0, errors.Trace(err)
	}

	response, err := sharer.Client.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}

	return response.StatusCode, errors.Trace(response.Body.Close())
}

// HasPending tells whether a copy is queued or being sent.
func (sharer *Sharer) HasPending() bool {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	return sharer.sending || len(sharer.pending) > 0
}

func (sharer *Sharer) takePending() ([]string, map[string]keeper.Page) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	if len(sharer.holders) == 0 {
		return nil, nil
	}

	pending := sharer.pending
	sharer.pending, sharer.sending = map[string]keeper.Page{}, true

	return sharer.holders, pending
}

// finishRound records that no copy is being sent.
func (sharer *Sharer) finishRound() {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	sharer.sending = false
}

func (sharer *Sharer) send(ctx context.Context, holder string, offered Copy) error {
	encoded, err := json.Marshal(offered)
	if err != nil {
		return errors.Trace(err)
	}

	writing, write := kernel.TraceRequestWrite(ctx)

	request, err := http.NewRequestWithContext(writing, http.MethodPost, "http://"+holder+PathCopies, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := sharer.Client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}

	if err := response.Body.Close(); err != nil {
		return errors.Trace(err)
	}

	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the holder answered %s", response.Status)
	}

	// A holder that has not received the copy cannot keep it.
	return errors.Trace(write.Confirm(ctx))
}
