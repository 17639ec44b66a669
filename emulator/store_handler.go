package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"limpetrail/keeper"
)

// watchLimit is the maximum duration of a long poll.
const watchLimit = 30 * time.Second

// StoreHandler serves a Store over HTTP with the API that keeper.HTTPStore calls.
type StoreHandler struct {
	Store *Store
	mux   *http.ServeMux
}

var _ http.Handler = (*StoreHandler)(nil)

// NewStoreHandler returns a handler for the store.
func NewStoreHandler(store *Store) *StoreHandler {
	handler := &StoreHandler{Store: store, mux: http.NewServeMux()}
	handler.mux.Handle("/faults", store.Faults)
	handler.mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, store.CallCounts())
	})
	handler.serve(keeper.PathGet, func(ctx context.Context, call keeper.Call) (keeper.Reply, error) {
		entry, err := store.Get(ctx, call.Key)

		return keeper.Reply{Entry: entry}, err
	})
	handler.serve(keeper.PathSwap, func(ctx context.Context, call keeper.Call) (keeper.Reply, error) {
		entry, applied, err := store.CompareAndSwap(ctx, call.Key, call.Revision, call.Value)

		return keeper.Reply{Entry: entry, Applied: applied == keeper.WriteApplied}, err
	})
	handler.serve(keeper.PathAcquire, func(ctx context.Context, call keeper.Call) (keeper.Reply, error) {
		lease, err := store.Acquire(ctx, call.Key, call.Holder, call.Duration)

		return keeper.Reply{Lease: lease}, err
	})
	handler.serve(keeper.PathWatch, func(ctx context.Context, call keeper.Call) (keeper.Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, watchLimit)
		defer cancel()

		entry, err := store.Watch(ctx, call.Key, call.Revision)

		return keeper.Reply{Entry: entry}, err
	})

	return handler
}

// ServeHTTP implements http.Handler.
func (handler *StoreHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.mux.ServeHTTP(writer, request)
}

func (handler *StoreHandler) serve(path string, operation func(context.Context, keeper.Call) (keeper.Reply, error)) {
	handler.mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, request *http.Request) {
		call := keeper.Call{}
		if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)

			return
		}

		reply, err := operation(request.Context(), call)
		if err != nil {
			// A caller whose answer is lost sees the connection close.
			panic(http.ErrAbortHandler)
		}

		writeJSON(writer, reply)
	})
}
