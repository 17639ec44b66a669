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
	// maxCallBytes bounds a call: a transaction holds at most about a megabyte
	// of values, a third more in base64.
	maxCallBytes = 8 << 20
	// maxAtOnce bounds the calls that are made for others at one time. Each
	// other gateway has four watches and a few calls under way.
	maxAtOnce = 64
)

// Server makes calls for other gateways, only on its own way to the service.
type Server struct {
	kernel.Common
	Catalog keeper.Catalog
	// Copy returns what was last seen below a prefix, and whether anything was.
	Copy func(prefix string) ([]keeper.Item, keeper.Revision, bool)

	places chan struct{}
}

// NewServer returns a server. Its catalog must not relay itself.
func NewServer(common kernel.Common, catalog keeper.Catalog, copied func(prefix string) ([]keeper.Item, keeper.Revision, bool)) *Server {
	return &Server{Common: common.ForPart("relayer"), Catalog: catalog, Copy: copied, places: make(chan struct{}, maxAtOnce)}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	select {
	case server.places <- struct{}{}:
		defer func() { <-server.places }()
	default:
		http.Error(writer, "Too many calls are under way.", http.StatusServiceUnavailable)

		return
	}

	asked := call{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxCallBytes)).Decode(&asked); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	server.Metrics.Counter("served").Inc(1)

	answer := server.serve(request.Context(), asked)
	if err := json.NewEncoder(writer).Encode(answer); err != nil {
		server.Log.WithError(err).Info("Answer to another gateway was not sent.")
	}
}

func (server *Server) serve(ctx context.Context, asked call) reply {
	answer := reply{}

	var err error

	switch asked.Operation {
	case operationGet:
		answer.Item, err = server.Catalog.Get(ctx, asked.Key)
	case operationRange:
		answer.Page, err = server.Catalog.Range(ctx, asked.Prefix, asked.After, asked.Stale)
	case operationWatch:
		answer.Changes, err = server.Catalog.Watch(ctx, asked.Prefix, asked.Revision, asked.Duration)
	case operationTransact:
		answer.Committed, err = server.transact(ctx, asked.Transaction)
	case operationGrant:
		answer.Lease, answer.Duration, err = server.Catalog.Grant(ctx, asked.Duration)
	case operationRenew:
		err = server.Catalog.Renew(ctx, asked.Lease)
	case operationRevoke:
		err = server.Catalog.Revoke(ctx, asked.Lease)
	case operationCopy:
		answer.Page, err = server.copied(asked.Prefix)
	default:
		err = errors.NotSupportedf("operation %q", asked.Operation)
	}

	answer.fail(err)

	return answer
}

func (server *Server) transact(ctx context.Context, transaction *keeper.Transaction) (keeper.Committed, error) {
	if transaction == nil || len(transaction.Conditions) == 0 {
		return keeper.Committed{Applied: keeper.WriteRefused}, errors.NotValidf("transaction without a condition")
	}

	return server.Catalog.Transact(ctx, *transaction)
}

func (server *Server) copied(prefix string) (keeper.Page, error) {
	items, revision, found := server.Copy(prefix)
	if !found {
		return keeper.Page{}, errors.NotFoundf("copy of %s", prefix)
	}

	return keeper.Page{Items: items, Revision: revision}, nil
}
