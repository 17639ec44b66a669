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

// peerCallTimeout limits the call to one entry.
const peerCallTimeout = time.Second

// CancelBroadcaster notifies every entry of a job's cancellation, because the owner of
// the job is not known for certain. There are few entries and few cancellations.
type CancelBroadcaster struct {
	Server *scheduler.Server
	Peers  *locator.Peers
	Dialer *dialer.Dialer
}

var _ Canceller = (*CancelBroadcaster)(nil)

// NewCancelBroadcaster returns a canceller that notifies this process and its peers.
func NewCancelBroadcaster(server *scheduler.Server, peers *locator.Peers, connections *dialer.Dialer) *CancelBroadcaster {
	return &CancelBroadcaster{Server: server, Peers: peers, Dialer: connections}
}

// NotifyCancel implements Canceller.
func (broadcaster *CancelBroadcaster) NotifyCancel(ctx context.Context, jobID string, recorded bool) {
	request := &messenger.CancelJobRequest{JobId: jobID, Recorded: recorded}
	// A call within the process always succeeds.
	_, _ = broadcaster.Server.CancelJob(ctx, request)

	calls := sync.WaitGroup{}

	for _, peer := range broadcaster.Peers.Entries() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()

			conn := broadcaster.Dialer.Pooled(ctx, peer.Address)
			defer conn.Close()

			// An owner that cannot be reached reads the cancellation from the index.
			_, _ = messenger.NewDRPCJobsClient(conn).CancelJob(ctx, request)
		})
	}

	calls.Wait()
}
