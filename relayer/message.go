package relayer

import (
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Path is where a gateway makes calls for others.
const Path = "/v1/catalog"

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
	// operationCopy asks for what the other gateway last saw below a prefix.
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

// cause tells the errors that decide what the caller does next.
type cause string

const (
	causeNone       cause = ""
	causeCompacted  cause = "Compacted"
	causeLeaseEnded cause = "LeaseEnded"
	// causeFailed is a call of which nothing is known but its Applied.
	causeFailed cause = "Failed"
)

// reply is the answer to any operation.
type reply struct {
	Item      keeper.Item
	Page      keeper.Page
	Changes   keeper.Changes
	Committed keeper.Committed
	Lease     keeper.LeaseID
	Duration  time.Duration
	Cause     cause  `json:",omitempty"`
	Error     string `json:",omitempty"`
}

// err returns the error that the other gateway got.
func (reply *reply) err() error {
	switch reply.Cause {
	case causeNone:
		return nil
	case causeCompacted:
		return errors.Trace(keeper.ErrCompacted)
	case causeLeaseEnded:
		return errors.Trace(keeper.ErrLeaseEnded)
	default:
		return errors.New(reply.Error)
	}
}

// fail notes an error in the reply.
func (reply *reply) fail(err error) {
	if err == nil {
		return
	}

	reply.Error = err.Error()

	switch {
	case errors.Is(err, keeper.ErrCompacted):
		reply.Cause = causeCompacted
	case errors.Is(err, keeper.ErrLeaseEnded):
		reply.Cause = causeLeaseEnded
	default:
		reply.Cause = causeFailed
	}
}
