package scheduler

import (
	"slices"
	"time"

	"limpetrail/keeper"
)

// job is a job that this entry owns. The scheduler's mutex guards its fields
// except committing and those that never change.
type job struct {
	// committing holds an entry over a commit, so that commits of one job
	// follow each other.
	committing chan struct{}

	// id, fileID and idempotent are the record's and never change.
	id         string
	fileID     string
	idempotent bool

	shard *shard
	// record is the last committed state, at the revision.
	record   Record
	revision keeper.Revision
	// epoch is the fence under which this entry writes.
	epoch uint64
	// lost is set once another owner was seen; nothing is done any more.
	lost bool
	// cancelling is set before the record says so where this entry was told.
	cancelling bool

	// cursor is the first item that was never handed out.
	cursor int
	// requeued are items that came back unrun.
	requeued []int
	// suspects are items that broke; each runs alone next.
	suspects []suspect
	// handed are the items at sidecars.
	handed map[int]*handout
	// tries counts the hand-outs of an item after the first, breaks the ends
	// without an answer, proven those that speak against the item.
	tries, breaks, proven map[int]int

	// buffer holds results that are not committed; pending their indexes.
	buffer  []Result
	pending map[int]bool
	// oldest is when the first result of buffer came.
	oldest time.Time
	// unstarted are non-idempotent items that came back certainly not run.
	unstarted []int
	// pausedUntil stops hand-outs for a while.
	pausedUntil time.Time
	// retryCommit is when a failed commit is tried again.
	retryCommit time.Time
	// lostInput counts the reads of items in a row that found no holder.
	lostInput int
}

// handout is an item at a sidecar.
type handout struct {
	instance string
	until    time.Time
}

// suspect is an item that was running when its engine broke.
type suspect struct {
	index     int
	notBefore time.Time
}

func newJob(owner *shard, record Record, revision keeper.Revision) *job {
	return &job{
		committing: make(chan struct{}, 1),
		id:         record.ID,
		fileID:     record.FileID,
		idempotent: record.Idempotent,
		shard:      owner,
		record:     record,
		revision:   revision,
		epoch:      owner.fence,
		cancelling: record.State == Cancelling,
		handed:     map[int]*handout{},
		tries:      map[int]int{},
		breaks:     map[int]int{},
		proven:     map[int]int{},
		pending:    map[int]bool{},
	}
}

// settled tells whether the item has a result, committed or not.
func (job *job) settled(index int) bool {
	return job.record.Done.Has(index) || job.pending[index]
}

// take picks up to limit items to hand out, or one suspect to run alone.
func (job *job) take(now time.Time, instance string, limit int, lease time.Duration) ([]int, bool) {
	for position, suspect := range job.suspects {
		if now.Before(suspect.notBefore) {
			continue
		}

		job.suspects = slices.Delete(job.suspects, position, position+1)
		job.hand(suspect.index, instance, now.Add(lease))

		return []int{suspect.index}, true
	}

	taken := []int{}

	for len(taken) < limit && len(job.requeued) > 0 {
		index := job.requeued[0]
		job.requeued = job.requeued[1:]

		if !job.settled(index) {
			taken = append(taken, index)
		}
	}

	for ; len(taken) < limit && job.cursor < job.record.Items; job.cursor++ {
		if !job.settled(job.cursor) && job.handed[job.cursor] == nil {
			taken = append(taken, job.cursor)
		}
	}

	for _, index := range taken {
		job.hand(index, instance, now.Add(lease))
	}

	return taken, false
}

func (job *job) hand(index int, instance string, until time.Time) {
	job.handed[index] = &handout{instance: instance, until: until}
}

// giveBack returns an item that certainly did not run. Its next hand-out is
// another request to the sidecar.
func (job *job) giveBack(index int) {
	delete(job.handed, index)
	job.tries[index]++
	job.requeued = append(job.requeued, index)
}

// ready tells whether there is anything to hand out now.
func (job *job) ready(now time.Time) bool {
	if job.lost || job.cancelling || now.Before(job.pausedUntil) {
		return false
	}

	due := func(suspect suspect) bool { return !now.Before(suspect.notBefore) }

	return job.cursor < job.record.Items || len(job.requeued) > 0 || slices.ContainsFunc(job.suspects, due)
}

// finish buffers a result, unless the item has one.
func (job *job) finish(now time.Time, result Result) {
	delete(job.handed, result.Index)

	if job.settled(result.Index) || job.record.State.Ended() {
		return
	}

	if len(job.buffer) == 0 {
		job.oldest = now
	}

	job.buffer = append(job.buffer, result)
	job.pending[result.Index] = true
	delete(job.breaks, result.Index)
	delete(job.proven, result.Index)
	delete(job.tries, result.Index)
}

// complete tells whether nothing is left to wait for.
func (job *job) complete() bool {
	if len(job.handed) > 0 {
		return false
	}

	return job.cancelling || job.record.Counts.recorded()+len(job.buffer) >= job.record.Items
}

// recorded is the number of items with a recorded result.
func (counts *Counts) recorded() int {
	return counts.Answered + counts.Failed + counts.MayHaveRun
}

// adopt takes over a record that another wrote, and drops results that it
// holds already.
func (job *job) adopt(record Record, revision keeper.Revision) {
	job.record = record
	job.revision = revision
	job.cancelling = job.cancelling || record.State != Open

	kept := job.buffer[:0]

	for _, result := range job.buffer {
		if record.Done.Has(result.Index) {
			delete(job.pending, result.Index)

			continue
		}

		kept = append(kept, result)
	}

	job.buffer = kept
}
