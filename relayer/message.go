package relayer

import (
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// PathCatalog is the path at which a process makes calls to the key-value service for others.
const PathCatalog = "/v1/catalog"

// operation names a call of keeper.Catalog.
type operation string

const (
	operationGet      operation = "Get"
	operationRange    operation = "Range"
	operationWatch    operation = "Watch"
	operationTransact operation = "Transact"
	operationGrant    operation = "Grant"
	operationRenew    operation = "Renew"
	operationRevoke   operation = "Revoke"
	// operationCopy asks for the other gateway's copy of a prefix.
	operationCopy operation = "Copy"
)

// call is a call of any operation; only the fields of its operation are set.
type call struct {
	Operation   operation
	Key         string              `json:",omitempty"`
	Prefix      string              `json:",omitempty"`
	After       string              `json:",omitempty"`
	Stale       bool                `json:",omitempty"`
	Revision    keeper.Revision     `json:",omitempty"`
	Duration    time.Duration       `json:",omitempty"`
	Lease       keeper.LeaseID      `json:",omitempty"`
	Transaction *keeper.Transaction `json:",omitempty"`
}

// cause is the kind of an error, as far as the caller's next step depends on it.
type cause string

const (
	causeNone       cause = ""
	causeCompacted  cause = "Compacted"
	causeLeaseEnded cause = "LeaseEnded"
	causeRejected   cause = "Rejected"
	// causeFailed is any other error. For a write, Committed.Applied tells whether it took effect.
	causeFailed cause = "Failed"
)

// reply is the answer to any operation.
type reply struct {
	Item      keeper.Item
	Page      keeper.Page
	Changes   keeper.Changes
	Committed keeper.TransactionResult
	Lease     keeper.LeaseID
	Duration  time.Duration
	Cause     cause  `json:",omitempty"`
	Error     string `json:",omitempty"`
}

// asError returns the error that the other gateway got from the service, or nil.
func (reply *reply) asError() error {
	switch reply.Cause {
	case causeNone:
		return nil
	case causeCompacted:
		return errors.Trace(keeper.ErrCompacted)
	case causeLeaseEnded:
		return errors.Trace(keeper.ErrLeaseEnded)
	case causeRejected:
		return errors.Annotate(keeper.ErrRejected, reply.Error)
	default:
		return errors.New(reply.Error)
	}
}

// setError records an error in the reply; nil changes nothing.
func (reply *reply) setError(err error) {
	if err == nil {
		return
	}

	reply.Error = err.Error()

	switch {
	case errors.Is(err, keeper.ErrCompacted):
		reply.Cause = causeCompacted
	case errors.Is(err, keeper.ErrLeaseEnded):
		reply.Cause = causeLeaseEnded
	case errors.Is(err, keeper.ErrRejected):
		reply.Cause = causeRejected
	default:
		reply.Cause = causeFailed
	}
}
