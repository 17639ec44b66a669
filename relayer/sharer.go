package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// shareInterval gathers changes before holders are told.
	shareInterval = 300 * time.Millisecond
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
	// newest holds the last copy of each prefix, for holders that come later.
	newest map[string]keeper.Page
}

// NewSharer returns a sharer that knows no holders.
func NewSharer(common kernel.Common) *Sharer {
	return &Sharer{
		Common:  common.ForPart("relayer"),
		Client:  &http.Client{Timeout: shareTimeout},
		pending: map[string]keeper.Page{},
		newest:  map[string]keeper.Page{},
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
		case <-time.After(shareInterval):
		case <-ctx.Done():
			return
		}

		holders, pending := sharer.take()

		for prefix, page := range pending {
			encoded, err := json.Marshal(Copy{Prefix: prefix, Page: page})
			if err != nil {
				sharer.Log.WithField("Prefix", prefix).WithError(err).Error("Copy cannot be written as text.")

				continue
			}

			for _, holder := range holders {
				if err := sharer.send(ctx, holder, encoded); err != nil {
					sharer.Log.WithField("Holder", holder).WithError(err).Info("Holder takes no copy.")
				}
			}
		}
	}
}

func (sharer *Sharer) take() ([]string, map[string]keeper.Page) {
	sharer.mutex.Lock()
	defer sharer.mutex.Unlock()

	if len(sharer.holders) == 0 {
		return nil, nil
	}

	pending := sharer.pending
	sharer.pending = map[string]keeper.Page{}

	return sharer.holders, pending
}

func (sharer *Sharer) send(ctx context.Context, holder string, encoded []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+holder+PathCopies, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := sharer.Client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(response.Body.Close())
}
