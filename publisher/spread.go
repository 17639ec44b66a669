package publisher

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// pullAttempts is how many peers a pull tries, because a listed peer may be dead.
const pullAttempts = 3

// fetchInitial asks several peers for the document and applies the highest
// revision, so that a process that starts during an outage of the key-value service
// can serve at once.
func (publisher *Publisher) fetchInitial(ctx context.Context) {
	if err := publisher.members.refresh(ctx); err != nil {
		publisher.Log.WithError(err).Warn("Reading the instance list failed; no peer is asked for the document at start.")

		return
	}

	publisher.exchangeAll(ctx, publisher.members.randomPeers(publisher.Settings.Joined))
}

// push notifies random peers of each new revision.
func (publisher *Publisher) push(ctx context.Context) {
	for {
		select {
		case <-publisher.changed:
			publisher.exchangeAll(ctx, publisher.members.randomPeers(publisher.Settings.Fanout))
		case <-ctx.Done():
			return
		}
	}
}

// pull exchanges with a random peer at intervals, to get revisions that no push
// delivered.
func (publisher *Publisher) pull(ctx context.Context) {
	for ctx.Err() == nil {
		maxPause := publisher.Settings.Pull
		kernel.Pause(ctx, maxPause/2+rand.N(maxPause/2))

		for _, peer := range publisher.members.randomPeers(pullAttempts) {
			if publisher.exchange(ctx, peer) == nil {
				break
			}
		}
	}
}

// refreshMembership reads the instance list at intervals.
func (publisher *Publisher) refreshMembership(ctx context.Context) {
	for ctx.Err() == nil {
		mean := publisher.Settings.Membership
		if len(publisher.members.randomPeers(1)) == 0 {
			mean = min(mean, initialBackstop)
		}

		kernel.Pause(ctx, jitter(mean))

		if err := publisher.members.refresh(ctx); err != nil && ctx.Err() == nil {
			publisher.Log.WithError(err).Warn("Reading the instance list failed; the last list stays in use.")
		}
	}
}

// exchangeAll exchanges with all given peers concurrently.
func (publisher *Publisher) exchangeAll(ctx context.Context, peers []string) {
	group := sync.WaitGroup{}
	for _, peer := range peers {
		group.Go(func() {
			if err := publisher.exchange(ctx, peer); err != nil {
				publisher.Log.WithError(err).Debug("Exchanging the document with a peer failed.")
			}
		})
	}

	group.Wait()
}

// exchange brings this process and a peer to the higher of their revisions.
// The document is sent only to the side with the lower revision.
func (publisher *Publisher) exchange(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, publisher.Settings.Exchange)
	defer cancel()

	reply, err := publisher.sendRequest(ctx, peer, false)
	if err != nil {
		return errors.Trace(err)
	}

	if len(reply.GetDocument()) > 0 {
		return publisher.applyPacked(keeper.Revision(reply.GetRevision()), reply.GetDocument())
	}

	if !reply.GetWanted() {
		return nil
	}

	_, err = publisher.sendRequest(ctx, peer, true)

	return errors.Trace(err)
}

// sendRequest sends the current revision to a peer, and the document with it if
// withDocument is set.
func (publisher *Publisher) sendRequest(ctx context.Context, peer string, withDocument bool) (*messenger.DocumentReply, error) {
	current := publisher.Current()
	request := &messenger.DocumentRequest{
		Clock:    uint64(publisher.Recorder.Clock.Now()),
		Revision: uint64(current.Revision),
	}

	if withDocument {
		request.Document = current.packed
	}

	reply, err := publisher.Peers.Exchange(ctx, peer, request)
	publisher.Recorder.Clock.Observe(recorder.Stamp(reply.GetClock()))

	return reply, errors.Trace(err)
}
