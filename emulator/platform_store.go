package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// PlatformStore serves a catalog with the HTTP API of the platform's metadata store.
type PlatformStore struct {
	Catalog *Catalog
	// Status is the status of all answers; 0 for normal answers. It must not be changed
	// while requests are in flight.
	Status int
	// RejectStatus is the status of calls that ask for something that is not allowed. With 200
	// the error is in the body.
	RejectStatus int
}

// NewPlatformStore returns a store over an empty catalog.
func NewPlatformStore() *PlatformStore {
	return &PlatformStore{Catalog: NewCatalog(), RejectStatus: http.StatusBadRequest}
}

type platformItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

func newPlatformItem(item keeper.Item) platformItem {
	return platformItem{Key: item.Key, Value: item.Value, Revision: uint64(item.Revision), CreateRevision: uint64(item.Created), Lease: uint64(item.Lease)}
}

// reply writes the answer. For an error without a status of its own it closes the
// connection.
func (store *PlatformStore) reply(writer http.ResponseWriter, err error, body any) {
	switch {
	case err == nil:
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(body)
	case errors.Is(err, keeper.ErrCompacted):
		writer.WriteHeader(http.StatusGone)
	case errors.Is(err, keeper.ErrLeaseEnded):
		writer.WriteHeader(http.StatusNotFound)
	case errors.Is(err, keeper.ErrRejected):
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(store.RejectStatus)
		_ = json.NewEncoder(writer).Encode(map[string]any{"error": err.Error()})
	default:
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP implements http.Handler.
func (store *PlatformStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if store.Status != 0 {
		writer.WriteHeader(store.Status)

		return
	}

	query := request.URL.Query()
	ctx := request.Context()
	id, _ := strconv.ParseUint(request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:], 10, 64)

	switch path := request.URL.Path; {
	case path == "/limpetrail/kv-key":
		item, err := store.Catalog.Get(ctx, query.Get("key"))
		if err == nil && item.Revision == 0 {
			writer.WriteHeader(http.StatusNotFound)

			return
		}

		store.reply(writer, err, newPlatformItem(item))
	case path == "/limpetrail/kv-range":
		page, err := store.Catalog.Range(ctx, query.Get("prefix"), query.Get("after"), query.Get("allowStale") == "1")
		items := []platformItem{}

		for _, item := range page.Items {
			items = append(items, newPlatformItem(item))
		}

		store.reply(writer, err, map[string]any{"items": items, "truncated": page.Truncated, "storeRevision": page.Revision})
	case path == "/limpetrail/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		changes, err := store.Catalog.Watch(ctx, query.Get("prefix"), keeper.Revision(after), time.Duration(wait)*time.Millisecond)
		items := []platformItem{}

		for _, event := range changes.Events {
			change := newPlatformItem(event.Item)
			change.Deleted = event.Deleted
			items = append(items, change)
		}

		store.reply(writer, err, map[string]any{"events": items, "storeRevision": changes.Revision})
	case path == "/limpetrail/kv-txn":
		store.transact(writer, request)
	case path == "/limpetrail/kv-lease":
		leaseRequest := struct {
			TTLMs int64 `json:"ttlMs"`
		}{}
		_ = json.NewDecoder(request.Body).Decode(&leaseRequest)
		lease, duration, err := store.Catalog.Grant(ctx, time.Duration(leaseRequest.TTLMs)*time.Millisecond)
		store.reply(writer, err, map[string]any{"lease": lease, "ttlMs": duration.Milliseconds()})
	case strings.HasPrefix(path, "/limpetrail/kv-keep/"):
		store.reply(writer, store.Catalog.Renew(ctx, keeper.LeaseID(id)), map[string]any{"ttlMs": 3000})
	case strings.HasPrefix(path, "/limpetrail/kv-lease-end/"):
		store.reply(writer, store.Catalog.Revoke(ctx, keeper.LeaseID(id)), map[string]any{})
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *PlatformStore) transact(writer http.ResponseWriter, request *http.Request) {
	body := struct {
		ExpectedRevision []platformItem `json:"expectedRevision"`
		SetKeys          []platformItem `json:"setKeys"`
		Remove           []string       `json:"remove"`
	}{}
	_ = json.NewDecoder(request.Body).Decode(&body)

	transaction := keeper.Transaction{Removes: body.Remove}
	for _, expected := range body.ExpectedRevision {
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: expected.Key, Revision: keeper.Revision(expected.Revision)})
	}

	for _, put := range body.SetKeys {
		transaction.Puts = append(transaction.Puts, keeper.Put{Key: put.Key, Value: put.Value, Lease: keeper.LeaseID(put.Lease)})
	}

	committed, err := store.Catalog.Transact(request.Context(), transaction)
	if err == nil && committed.Applied == keeper.WriteRefused {
		items := []platformItem{}
		for _, item := range committed.Present {
			items = append(items, newPlatformItem(item))
		}

		writer.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(writer).Encode(map[string]any{"items": items})

		return
	}

	store.reply(writer, err, map[string]any{"revision": committed.Revision})
}
