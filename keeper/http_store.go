package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// HTTPStore calls a key-value service over HTTP with JSON bodies. A call that times
// out closes its connection.
type HTTPStore struct {
	kernel.Common

	Address string
	Client  *http.Client
}

var _ Store = (*HTTPStore)(nil)

func init() {
	StoreAdapters.Register("http", func(common kernel.Common, address string) (Store, error) {
		return NewHTTPStore(common, address), nil
	})
}

// NewHTTPStore returns a store for the service at the address, a host and port.
func NewHTTPStore(common kernel.Common, address string) *HTTPStore {
	return &HTTPStore{
		Common:  common.ForPart("keeper"),
		Address: address,
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxResponseHeaderBytes: kernel.MaxHeadBytes}},
	}
}

const maxIdleConnections = 16

// Paths of the operations.
const (
	PathGet     = "/v1/get"
	PathSwap    = "/v1/swap"
	PathAcquire = "/v1/acquire"
	PathWatch   = "/v1/watch"
)

// Call is the request body of every operation.
type Call struct {
	Key      string
	Revision Revision      `json:",omitempty"`
	Value    []byte        `json:",omitempty"`
	Holder   string        `json:",omitempty"`
	Duration time.Duration `json:",omitempty"`
}

// Reply is the response body of every operation.
type Reply struct {
	Entry   Entry
	Applied bool
	Lease   Lease
}

// Get implements Store.
func (store *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := store.call(ctx, PathGet, Call{Key: key})

	return reply.Entry, errors.Annotatef(err, "reading %s", key)
}

// CompareAndSwap implements Store.
func (store *HTTPStore) CompareAndSwap(ctx context.Context, key string, revision Revision, value []byte) (Entry, WriteOutcome, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, WriteRefused, errors.NotValidf("value of %d bytes for %s (limit %d)", len(value), key, MaxValueBytes)
	}

	reply, err := store.call(ctx, PathSwap, Call{Key: key, Revision: revision, Value: value})

	switch {
	case err != nil:
		return Entry{}, WriteUnknown, errors.Annotatef(err, "writing %s", key)
	case reply.Applied:
		return reply.Entry, WriteApplied, nil
	default:
		return reply.Entry, WriteRefused, nil
	}
}

// Acquire implements Store.
func (store *HTTPStore) Acquire(ctx context.Context, key, holder string, duration time.Duration) (Lease, error) {
	reply, err := store.call(ctx, PathAcquire, Call{Key: key, Holder: holder, Duration: duration})

	return reply.Lease, errors.Annotatef(err, "acquiring %s", key)
}

// Watch implements Store.
func (store *HTTPStore) Watch(ctx context.Context, key string, above Revision) (Entry, error) {
	reply, err := store.call(ctx, PathWatch, Call{Key: key, Revision: above})

	return reply.Entry, errors.Annotatef(err, "watching %s", key)
}

func (store *HTTPStore) call(ctx context.Context, path string, call Call) (Reply, error) {
	store.Metrics.Counter("calls").Inc(1)

	body, err := json.Marshal(call)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	// Without GetBody the transport cannot send the request a second time.
	request.GetBody = nil

	response, err := store.Client.Do(request)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return Reply{}, errors.Errorf("key-value service answered %s", response.Status)
	}

	reply := Reply{}
	// Values are base64 in JSON, a third longer than the value itself.
	err = json.NewDecoder(io.LimitReader(response.Body, 2*MaxValueBytes)).Decode(&reply)

	return reply, errors.Trace(err)
}
