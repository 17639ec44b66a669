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
	// takeoverTurn is how long each member, in the order of rank, may take over a job
	// without an owner before the next member may. It is longer than a process needs to
	// see in the heads that the job was taken over.
	takeoverTurn = 3 * time.Second
	// memberListLag is how long the owner of a job may be missing from a member list that
	// is older than the job's head: the pause before a watch, and the watch itself.
	memberListLag = 4 * time.Second
	// orphanCheckInterval is how often jobs without an owner are looked for.
	orphanCheckInterval = 500 * time.Millisecond
	// takeoverTimeout bounds the reads and writes of a takeover.
	takeoverTimeout = 5 * time.Second
)

// SetHeads applies a snapshot of the heads of all jobs, and stops the jobs that this
// process may no longer run.
func (batcher *Batcher) SetHeads(snapshot follower.Copy) {
	heads := map[string]bookkeeper.VersionedHead{}

	for _, item := range snapshot {
		head, err := bookkeeper.DecodeHead(item)
		if err != nil {
			batcher.Log.WithField("Key", item.Key).WithError(err).Warn("Head of a job could not be decoded.")

			continue
		}

		heads[bookkeeper.IDFromHeadKey(item.Key)] = head
	}

	batcher.Librarian.SetHeads(heads)

	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	for id, head := range heads {
		if active := batcher.active[id]; active != nil && batcher.headEndsWork(active, head) {
			batcher.stopLocked(id, "The job has another owner, was ended or is done.")
		}
	}
}

// SetMembers replaces the registered incarnations, which were read at a revision of
// the key-value service.
func (batcher *Batcher) SetMembers(members map[string]bool, revision keeper.Revision) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.members, batcher.membersRevision = members, revision
	batcher.registered = members[batcher.ProcessID]
}

// monitorOrphans takes over jobs without a live owner until the context ends, and
// claims jobs that run here unclaimed.
func (batcher *Batcher) monitorOrphans(ctx context.Context) {
	for {
		for _, id := range batcher.orphansToTakeOver() {
			go batcher.takeOver(ctx, id)
		}

		batcher.claimAll(ctx)

		select {
		case <-time.After(orphanCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

// orphansToTakeOver returns the jobs that this process is to take over now.
func (batcher *Batcher) orphansToTakeOver() []string {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	if !batcher.registered || batcher.leaving {
		return nil
	}

	ids, liveMembers := []string{}, batcher.liveMembers()

	for id, head := range batcher.Librarian.Heads() {
		if !batcher.isOrphan(id, head, liveMembers) {
			delete(batcher.orphanedSince, id)
			delete(batcher.supersededHeads, id)

			continue
		}

		since, seen := batcher.orphanedSince[id]
		if !seen {
			since = time.Now()
			batcher.orphanedSince[id] = since
		}

		// If another process took the job over, the snapshot shows it soon.
		superseded := batcher.supersededHeads[id] == head.Revision
		if time.Since(since) >= batcher.takeoverWait(id, head, liveMembers) && !batcher.takingOver[id] && !superseded {
			batcher.takingOver[id] = true
			ids = append(ids, id)
		}
	}

	return ids
}

// takeoverWait is how long this process waits before it takes over a job without an
// owner. Waiting in the order of rank keeps processes from all trying to take over
// hundreds of jobs at once. A job that names this process may be about to start here.
func (batcher *Batcher) takeoverWait(id string, head bookkeeper.VersionedHead, liveMembers map[string]bool) time.Duration {
	if head.Owner == batcher.ProcessID {
		return takeoverTurn
	}

	wait := time.Duration(rank(id, batcher.ProcessID, liveMembers)) * takeoverTurn
	if head.Owner != "" && batcher.membersRevision < head.Revision && !batcher.IsSilent(head.Owner) {
		// The owner may have registered after the member list was read.
		wait += memberListLag
	}

	return wait
}

// isOrphan tells whether an open job has no live owner, or names this process but does
// not run here.
func (batcher *Batcher) isOrphan(id string, head bookkeeper.VersionedHead, liveMembers map[string]bool) bool {
	if !head.IsOpen() || batcher.active[id] != nil {
		return false
	}

	return head.Owner == batcher.ProcessID || !liveMembers[head.Owner]
}

// liveMembers returns this process and all members that are not silent. The mutex must
// be held.
func (batcher *Batcher) liveMembers() map[string]bool {
	live := map[string]bool{batcher.ProcessID: true}

	for member := range batcher.members {
		if !batcher.IsSilent(member) {
			live[member] = true
		}
	}

	return live
}

// rank returns how many members precede a process in taking over a job, by rendezvous
// hashing: all processes compute the same order, and the jobs of one member spread over
// the others.
func rank(id, process string, members map[string]bool) int {
	weight := func(member string) uint64 {
		hash := fnv.New64a()
		// Writes to a hash never fail.
		_, _ = hash.Write([]byte(id + "/" + member))

		return hash.Sum64()
	}

	ownWeight, higherRanked := weight(process), 0

	for member := range members {
		memberWeight := weight(member)
		if memberWeight > ownWeight || memberWeight == ownWeight && member > process {
			higherRanked++
		}
	}

	return higherRanked
}

// takeOver makes this process the owner of a job and resumes the job after its committed
// results.
func (batcher *Batcher) takeOver(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()

	defer func() {
		batcher.mutex.Lock()
		defer batcher.mutex.Unlock()

		delete(batcher.takingOver, id)
		delete(batcher.orphanedSince, id)
	}()

	record, outcome := batcher.Librarian.Find(ctx, id)
	if outcome != bookkeeper.OK {
		return
	}

	current := record.Head()
	if !current.IsOpen() {
		return
	}

	head := current.Head
	head.Owner = batcher.ProcessID

	updated, applied, err := batcher.ledger.Replace(ctx, id, current, head)
	record.SetHead(updated)

	if err == nil && !applied {
		batcher.mutex.Lock()
		batcher.supersededHeads[id] = current.Revision
		batcher.mutex.Unlock()
	}

	if err != nil || !applied {
		batcher.Log.WithField("JobID", id).WithError(err).Info("Job was not taken over: its head changed or could not be written.")

		return
	}

	if err := batcher.resume(ctx, record, updated); err != nil {
		batcher.Log.WithField("JobID", id).WithError(err).Warn("Job was taken over, but could not be read and does not run here yet.")
	}
}

// resume starts a job that was taken over.
func (batcher *Batcher) resume(ctx context.Context, record *librarian.Record, head bookkeeper.VersionedHead) error {
	items, err := record.LoadItems(ctx, batcher.ledger)
	if err != nil {
		return err
	}

	// Earlier owners committed all their results before the head that was just written,
	// so this reads all of them.
	if err := record.Refresh(ctx, batcher.ledger, 0); err != nil {
		return err
	}

	partials, err := batcher.ledger.Partials(ctx, record.ID)
	if err != nil {
		// The job runs without its partial output.
		batcher.Log.WithField("JobID", record.ID).WithError(err).Warn("Partial output could not be read; unfinished items start over.")
	}

	batcher.startOwned(record, head.Job(record.ID, items), partials)

	batcher.Log.WithFields(logrus.Fields{"JobID": record.ID, "Revision": head.Revision, "Items": len(items), "Begun": len(partials)}).Info("Job was taken over.")

	return nil
}

// stopAccepting refuses new jobs and starts no further items, as the process stops.
func (batcher *Batcher) stopAccepting() {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()

	batcher.leaving = true
}

// releaseAll stops the remaining jobs and removes the owner from their heads, so that
// other processes take them over.
func (batcher *Batcher) releaseAll(ctx context.Context) {
	batcher.mutex.Lock()
	released := slices.Collect(maps.Values(batcher.active))

	for _, active := range released {
		batcher.stopLocked(active.job.ID, "The process stops.")
	}

	batcher.mutex.Unlock()

	for _, active := range released {
		if !active.claimed {
			continue
		}

		current := active.record.Head()
		head := current.Head
		head.Owner = ""

		if _, _, err := batcher.ledger.Replace(ctx, active.job.ID, current, head); err != nil {
			batcher.Log.WithField("JobID", active.job.ID).WithError(err).Warn("Job could not be released; other processes take it over when this member's lease ends.")
		}
	}
}
