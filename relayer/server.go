package relayer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// maxCallBytes bounds a call: a transaction that creates a job holds all its items,
	// some megabytes, which base64 makes a third longer.
	maxCallBytes = 32 << 20
	// maxConcurrentCalls bounds the concurrent calls for other gateways, each of
	// which makes four watches and a few other calls at a time.
	maxConcurrentCalls = 64
)

// Server makes calls to the key-value service for other gateways, over this process's
// own connection only: calls are never relayed twice.
type Server struct {
	kernel.Common
	Catalog keeper.Catalog
	// CopyOf returns this process's copy of a prefix and its revision, and whether there is one.
	CopyOf func(prefix string) ([]keeper.Item, keeper.Revision, bool)

	slots chan struct{}
}

// NewServer returns a server. Its catalog must not relay calls in turn.
func NewServer(common kernel.Common, catalog keeper.Catalog, copyOf func(prefix string) ([]keeper.Item, keeper.Revision, bool)) *Server {
	return &Server{Common: common.ForPart("relayer"), Catalog: catalog, CopyOf: copyOf, slots: make(chan struct{}, maxConcurrentCalls)}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	select {
	case server.slots <- struct{}{}:
		defer func() { <-server.slots }()
	default:
		http.Error(writer, "Too many calls are under way.", http.StatusServiceUnavailable)

		return
	}

	requested := call{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxCallBytes)).Decode(&requested); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	server.Metrics.Counter("served").Inc(1)

	answer := server.serve(request.Context(), requested)
	if err := json.NewEncoder(writer).Encode(answer); err != nil {
		server.Log.WithError(err).Info("Reply to a relayed call could not be sent to the other gateway.")
	}
}

func (server *Server) serve(ctx context.Context, requested call) reply {
	answer := reply{}

	var err error

	switch requested.Operation {
	case operationGet:
		answer.Item, err = server.Catalog.Get(ctx, requested.Key)
	case operationRange:
		answer.Page, err = server.Catalog.Range(ctx, requested.Prefix, requested.After, requested.Stale)
	case operationWatch:
		answer.Changes, err = server.Catalog.Watch(ctx, requested.Prefix, requested.Revision, requested.Duration)
	case operationTransact:
		answer.Committed, err = server.transact(ctx, requested.Transaction)
	case operationGrant:
		answer.Lease, answer.Duration, err = server.Catalog.Grant(ctx, requested.Duration)
	case operationRenew:
		err = server.Catalog.Renew(ctx, requested.Lease)
	case operationRevoke:
		err = server.Catalog.Revoke(ctx, requested.Lease)
	case operationCopy:
		answer.Page, err = server.copyPage(requested.Prefix)
	default:
		err = errors.NotSupportedf("operation %q", requested.Operation)
	}

	answer.setError(err)

	return answer
}

func (server *Server) transact(ctx context.Context, transaction *keeper.Transaction) (keeper.TransactionResult, error) {
	if transaction == nil || len(transaction.Conditions) == 0 {
		return keeper.TransactionResult{Applied: keeper.WriteRefused}, errors.NotValidf("transaction without a condition")
	}

	return server.Catalog.Transact(ctx, *transaction)
}

func (server *Server) copyPage(prefix string) (keeper.Page, error) {
	items, revision, found := server.CopyOf(prefix)
	if !found {
		return keeper.Page{}, errors.NotFoundf("copy of %s", prefix)
	}

	return keeper.Page{Items: items, Revision: revision}, nil
}
