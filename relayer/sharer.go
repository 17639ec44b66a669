package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// shareInterval gathers changes before holders are told, and shareSpread is
	// the most that is added by chance: all gateways see a change at one moment,
	// and the first of them spares the others the sending. Together they stay
	// below the shortest time in which an operator makes two changes by hand.
	shareInterval = 300 * time.Millisecond
	shareSpread   = 700 * time.Millisecond
	// untakenInterval is the least time between two lines about holders that take
	// no copy; an operator reads on within seconds.
	untakenInterval = 5 * time.Second
	// shareTimeout bounds the handing over of one copy; a disk may stall.
	shareTimeout = time.Second
)

// Sharer hands copies to holders as they change.
type Sharer struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// holders are addresses, and pending the copies that they have not got yet.
	holders []string
	pending map[string]keeper.Page
	// handing is set while copies are on their way to holders.
	handing bool
	// newest holds the last copy of each prefix, for holders that come later.
	newest map[string]keeper.Page
	// untaken bounds the lines about holders that take no copy.
	untaken *kernel.LineBudget
}

// NewSharer returns a sharer that knows no holders.
func NewSharer(common kernel.Common) *Sharer {
	return &Sharer{
		Common:  common.ForPart("relayer"),
		Client:  &http.Client{Timeout: shareTimeout},
		pending: map[string]keeper.Page{},
		newest:  map[string]keeper.Page{},
		untaken: kernel.NewLineBudget(untakenInterval),
	}
}

// SetHolders replaces the addresses. Others than before get all copies.
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

// Share hands a copy over soon.
func (sharer *Sharer) Share(prefix string, items []keeper.Item, revision keeper.Revision) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	page := keeper.Page{Items: items, Revision: revision}
	sharer.pending[prefix], sharer.newest[prefix] = page, page
}

// Run hands copies over until the context ends.
func (sharer *Sharer) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(shareInterval + rand.N(shareSpread)):
		case <-ctx.Done():
			return
		}

		holders, pending := sharer.take()
		for prefix, page := range pending {
			sharer.hand(ctx, holders, Copy{Prefix: prefix, Page: page})
		}

		sharer.rest()
	}
}

// hand offers the copy to all holders. They are told at once, so that a silent one
// delays no other.
func (sharer *Sharer) hand(ctx context.Context, holders []string, taken Copy) {
	offers := sync.WaitGroup{}
	for _, holder := range holders {
		offers.Go(func() { sharer.offer(ctx, holder, taken) })
	}

	offers.Wait()
}

// offer gives the copy to a holder that does not have it. One that takes none now
// is asked again, with what is the newest copy then.
func (sharer *Sharer) offer(ctx context.Context, holder string, taken Copy) {
	status, err := sharer.ask(ctx, holder, taken)

	switch {
	case err != nil || status == http.StatusNoContent:
	case status == http.StatusTooManyRequests:
		sharer.postpone(taken.Prefix)
	default:
		err = sharer.send(ctx, holder, taken)
	}

	if err == nil {
		return
	}

	sharer.postpone(taken.Prefix)

	if offers := sharer.untaken.Take(); offers > 0 {
		sharer.Log.WithFields(logrus.Fields{
			"Holder": holder, "Prefix": taken.Prefix, "Revision": taken.Page.Revision, "Offers": offers,
		}).WithError(err).Warn("Holder takes no copy; it is offered again.")
	}
}

// postpone has the newest copy of the prefix handed over with the next ones.
func (sharer *Sharer) postpone(prefix string) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	sharer.pending[prefix] = sharer.newest[prefix]
}

// ask offers a copy and returns the status of the answer; see Copies.
func (sharer *Sharer) ask(ctx context.Context, holder string, offered Copy) (int, error) {
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

// Waiting tells whether a copy has still to be handed over or offered.
func (sharer *Sharer) Waiting() bool {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	return sharer.handing || len(sharer.pending) > 0
}

func (sharer *Sharer) take() ([]string, map[string]keeper.Page) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	if len(sharer.holders) == 0 {
		return nil, nil
	}

	pending := sharer.pending
	sharer.pending, sharer.handing = map[string]keeper.Page{}, true

	return sharer.holders, pending
}

// rest notes that nothing is on its way.
func (sharer *Sharer) rest() {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	sharer.handing = false
}

func (sharer *Sharer) send(ctx context.Context, holder string, taken Copy) error {
	encoded, err := json.Marshal(taken)
	if err != nil {
		return errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+holder+PathCopies, bytes.NewReader(encoded))
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

	return nil
}
