package batcher

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/librarian"
)

const (
	// orphanTime is how long the chosen member has for a job without an owner before
	// the next one may take it, and so on. It is longer than a process takes to see
	// in the heads that the job was taken.
	orphanTime = 3 * time.Second
	// listLag is how long a list of members that is older than a job's head may lack
	// its owner: the pause before a watch, and the watch.
	listLag = 4 * time.Second
	// overseeInterval is how often jobs without an owner are looked for.
	overseeInterval = 500 * time.Millisecond
	// takeTimeout bounds the reading and writing of a takeover.
	takeTimeout = 5 * time.Second
)

// SetHeads takes in the heads of all jobs.
func (batcher *Batcher) SetHeads(copied follower.Copy) {
	heads := map[string]bookkeeper.Version{}

	for _, item := range copied {
		head, err := bookkeeper.DecodeHead(item)
		if err != nil {
			batcher.Log.WithField("Key", item.Key).WithError(err).Warn("Head of a job cannot be read.")

			continue
		}

		heads[bookkeeper.IDOf(item.Key)] = head
	}

	batcher.Librarian.SetHeads(heads)

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for id, head := range heads {
		if owned := batcher.owned[id]; owned != nil && batcher.contradicts(owned, head) {
			batcher.drop(id, "Its head changed.")
		}
	}
}

// SetMembers takes in the live incarnations as of a revision of the service.
func (batcher *Batcher) SetMembers(members map[string]bool, revision keeper.Revision) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.members, batcher.membersAt = members, revision
	batcher.registered = members[batcher.Owner]
}

// oversee takes over jobs without a live owner until the context ends.
func (batcher *Batcher) oversee(ctx context.Context) {
	for {
		for _, id := range batcher.orphans() {
			go batcher.take(ctx, id)
		}

		batcher.claimAll(ctx)

		select {
		case <-time.After(overseeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// orphans returns the jobs that this process is to take over now.
func (batcher *Batcher) orphans() []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if !batcher.registered || batcher.leaving {
		return nil
	}

	found, live := []string{}, batcher.live()

	for id, head := range batcher.Librarian.Heads() {
		if !batcher.orphan(id, head, live) {
			delete(batcher.orphaned, id)
			delete(batcher.overtaken, id)

			continue
		}

		since, seen := batcher.orphaned[id]
		if !seen {
			since = time.Now()
			batcher.orphaned[id] = since
		}

		// One that another process took is seen in the heads soon.
		taken := batcher.overtaken[id] == head.Revision
		if time.Since(since) >= batcher.orphanWait(id, head, live) && !batcher.taking[id] && !taken {
			batcher.taking[id] = true
			found = append(found, id)
		}
	}

	return found
}

// orphanWait is how long this process leaves a job without an owner to others: the
// load of all processes that start at once, with hundreds of such jobs. One that names
// this process may be about to start here.
func (batcher *Batcher) orphanWait(id string, head bookkeeper.Version, live map[string]bool) time.Duration {
	if head.Owner == batcher.Owner {
		return orphanTime
	}

	wait := time.Duration(rank(id, batcher.Owner, live)) * orphanTime
	if head.Owner != "" && batcher.membersAt < head.Revision && !batcher.Silent(head.Owner) {
		// The owner may be too new for the list.
		wait += listLag
	}

	return wait
}

// orphan tells whether nobody works on a job that is open.
func (batcher *Batcher) orphan(id string, head bookkeeper.Version, live map[string]bool) bool {
	if !head.Open() || batcher.owned[id] != nil {
		return false
	}

	return head.Owner == batcher.Owner || !live[head.Owner]
}

// live returns the members that are not known to be gone, this one among them. The
// mutex is held.
func (batcher *Batcher) live() map[string]bool {
	found := map[string]bool{batcher.Owner: true}

	for member := range batcher.members {
		if !batcher.Silent(member) {
			found[member] = true
		}
	}

	return found
}

// rank is how many members come before one in taking over a job, the same for all
// who ask. The jobs of one member spread over the others.
func rank(id, own string, members map[string]bool) int {
	weight := func(member string) uint64 {
		hash := fnv.New64a()
		// Writing to a hash does not fail.
		_, _ = hash.Write([]byte(id + "/" + member))

		return hash.Sum64()
	}

	mine, before := weight(own), 0

	for member := range members {
		value := weight(member)
		if value > mine || value == mine && member > own {
			before++
		}
	}

	return before
}

// take makes this process the owner of a job and goes on where its results end.
func (batcher *Batcher) take(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()

	defer func() {
		batcher.mutex.Lock()
		defer batcher.mutex.Unlock()

		delete(batcher.taking, id)
		delete(batcher.orphaned, id)
	}()

	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return
	}

	before := record.Head()
	if !before.Open() {
		return
	}

	head := before.Head
	head.Owner = batcher.Owner

	taken, applied, err := batcher.ledger.Replace(ctx, id, before, head)
	record.SetHead(taken)

	if err == nil && !applied {
		batcher.mutex.Lock()
		batcher.overtaken[id] = before.Revision
		batcher.mutex.Unlock()
	}

	if err != nil || !applied {
		batcher.Log.WithField("JobID", id).WithError(err).Info("Job is not taken over.")

		return
	}

	if err := batcher.resume(ctx, record, taken); err != nil {
		batcher.Log.WithField("JobID", id).WithError(err).Warn("Job was taken over and cannot be read.")
	}
}

// resume starts the work on a job that was taken over.
func (batcher *Batcher) resume(ctx context.Context, record *librarian.Record, head bookkeeper.Version) error {
	items, err := record.Load(ctx, batcher.ledger)
	if err != nil {
		return err
	}

	// Whatever earlier owners listed came before the head that was just written.
	if err := record.Refresh(ctx, batcher.ledger, 0); err != nil {
		return err
	}

	partials, err := batcher.ledger.Partials(ctx, record.ID)
	if err != nil {
		// What was made is made again.
		batcher.Log.WithField("JobID", record.ID).WithError(err).Warn("Partial output cannot be read.")
	}

	batcher.own(record, bookkeeper.Job{
		ID: record.ID, Host: head.Host, Items: items,
		Submitted: head.Submitted, Due: head.Due, GiveUp: head.GiveUp,
	}, partials)

	batcher.Log.WithFields(logrus.Fields{"JobID": record.ID, "Revision": head.Revision, "Items": len(items), "Begun": len(partials)}).Info("Job was taken over.")

	return nil
}

// leave keeps new work away from a process that stops.
func (batcher *Batcher) leave() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.leaving = true
}

// release gives the jobs that nobody took to the others, by heads without an owner.
func (batcher *Batcher) release(ctx context.Context) {
	batcher.mutex.Lock()
	stopped := slices.Collect(maps.Values(batcher.owned))

	for _, owned := range stopped {
		batcher.drop(owned.job.ID, "The process stops.")
	}

	batcher.mutex.Unlock()

	for _, owned := range stopped {
		if !owned.claimed {
			continue
		}

		before := owned.record.Head()
		head := before.Head
		head.Owner = ""

		if _, _, err := batcher.ledger.Replace(ctx, owned.job.ID, before, head); err != nil {
			batcher.Log.WithField("JobID", owned.job.ID).WithError(err).Warn("Job waits for the end of this member's lease.")
		}
	}
}
