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

// pullAttempts is how many peers are tried at each pull, for those that are
// dead but still listed.
const pullAttempts = 3

// join asks several peers for the document and takes the highest answer, so
// that a process starting in an outage serves at once.
func (publisher *Publisher) join(ctx context.Context) {
	if err := publisher.members.refresh(ctx); err != nil {
		publisher.Log.WithError(err).Warn("No instance list; nobody to ask for the document.")

		return
	}

	publisher.exchangeAll(ctx, publisher.members.choose(publisher.Settings.Joined))
}

// push tells peers of each new revision.
func (publisher *Publisher) push(ctx context.Context) {
	for {
		select {
		case <-publisher.learned:
			publisher.exchangeAll(ctx, publisher.members.choose(publisher.Settings.Fanout))
		case <-ctx.Done():
			return
		}
	}
}

// pull asks a random peer now and then, for what no push has brought.
func (publisher *Publisher) pull(ctx context.Context) {
	for ctx.Err() == nil {
		longest := publisher.Settings.Pull
		kernel.Pause(ctx, longest/2+rand.N(longest/2))

		for _, peer := range publisher.members.choose(pullAttempts) {
			if publisher.exchange(ctx, peer) == nil {
				break
			}
		}
	}
}

// meet follows the instance list.
func (publisher *Publisher) meet(ctx context.Context) {
	for ctx.Err() == nil {
		mean := publisher.Settings.Membership
		if len(publisher.members.choose(1)) == 0 {
			mean = min(mean, firstBackstop)
		}

		kernel.Pause(ctx, jitter(mean))

		if err := publisher.members.refresh(ctx); err != nil && ctx.Err() == nil {
			publisher.Log.WithError(err).Warn("No instance list; the last one stays.")
		}
	}
}

// exchangeAll exchanges with all the peers at once.
func (publisher *Publisher) exchangeAll(ctx context.Context, peers []string) {
	group := sync.WaitGroup{}
	for _, peer := range peers {
		group.Go(func() {
			if err := publisher.exchange(ctx, peer); err != nil {
				publisher.Log.WithError(err).Debug("A peer gave no answer.")
			}
		})
	}

	group.Wait()
}

// exchange brings this process and a peer to the higher of their revisions.
// The document travels only to the one that lacks it.
func (publisher *Publisher) exchange(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, publisher.Settings.Exchange)
	defer cancel()

	reply, err := publisher.ask(ctx, peer, false)
	if err != nil {
		return errors.Trace(err)
	}

	if len(reply.GetDocument()) > 0 {
		return publisher.takePacked(keeper.Revision(reply.GetRevision()), reply.GetDocument())
	}

	if !reply.GetWanted() {
		return nil
	}

	_, err = publisher.ask(ctx, peer, true)

	return errors.Trace(err)
}

func (publisher *Publisher) ask(ctx context.Context, peer string, whole bool) (*messenger.DocumentReply, error) {
	current := publisher.Current()
	request := &messenger.DocumentRequest{
		Clock:    uint64(publisher.Recorder.Clock.Now()),
		Revision: uint64(current.Revision),
	}

	if whole {
		request.Document = current.packed
	}

	reply, err := publisher.Peers.Exchange(ctx, peer, request)
	publisher.Recorder.Clock.Observe(recorder.Stamp(reply.GetClock()))

	return reply, errors.Trace(err)
}
