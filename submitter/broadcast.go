package submitter

import (
	"context"
	"sync"
	"time"

	"limpetrail/dialer"
	"limpetrail/locator"
	"limpetrail/messenger"
	"limpetrail/scheduler"
)

// tellLimit bounds the call of one entry.
const tellLimit = time.Second

// Broadcast tells every entry of a cancellation. There are few entries and few
// cancellations, and the owner is not known for sure.
type Broadcast struct {
	Server *scheduler.Server
	Peers  *locator.Peers
	Dialer *dialer.Dialer
}

var _ Canceller = (*Broadcast)(nil)

// NewBroadcast returns a canceller that reaches this process and its peers.
func NewBroadcast(server *scheduler.Server, peers *locator.Peers, connections *dialer.Dialer) *Broadcast {
	return &Broadcast{Server: server, Peers: peers, Dialer: connections}
}

// Tell implements Canceller.
func (broadcast *Broadcast) Tell(ctx context.Context, jobID string, recorded bool) {
	request := &messenger.CancelJobRequest{JobId: jobID, Recorded: recorded}
	// This process cannot fail to answer itself.
	_, _ = broadcast.Server.CancelJob(ctx, request)

	calls := sync.WaitGroup{}

	for _, peer := range broadcast.Peers.Entries() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, tellLimit)
			defer cancel()

			conn := broadcast.Dialer.Pooled(ctx, peer.Address)
			defer conn.Close()

			// An owner that is not reached learns of it from the index.
			_, _ = messenger.NewDRPCJobsClient(conn).CancelJob(ctx, request)
		})
	}

	calls.Wait()
}
