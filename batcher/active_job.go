package batcher

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"limpetrail/bookkeeper"
	"limpetrail/librarian"
)

// activeJob is a job that this process runs: its items and results that are not
// committed yet.
type activeJob struct {
	record *librarian.Record
	job    bookkeeper.Job
	// context ends when the job stops running here: it is ended or done, has another
	// owner, or the process stops.
	context context.Context //nolint:containedctx // It spans all attempts of the job.
	cancel  context.CancelFunc
	// claimed is set when the head names this process, so that results may be
	// committed; claiming is set while a claim is in progress.
	claimed, claiming bool
	// previousOwner is the owner that handed the job over, or empty.
	previousOwner string
	// committedBefore holds the items whose results earlier owners had committed when
	// the job was claimed.
	committedBefore map[string]bool
	// waiting holds the items that wait for a place.
	waiting []*task
	// unfinished holds all items without a result, waiting or running, by ID.
	unfinished map[string]*task
	// savedProgress is the number of events and failed attempts of unfinished items at
	// the last save of partial output.
	savedProgress int
	// running is the number of items with a place.
	running int
	// uncommitted holds finished results that are not in proposed.
	uncommitted []bookkeeper.Result
	// proposed is the segment whose commit is in progress or has an unknown outcome, with
	// the number proposedNumber. It is retried unchanged until the outcome is known, or
	// until the key-value service rejects it.
	proposed       *bookkeeper.EncodedSegment
	proposedNumber int
	// fragments are the segments to propose next, the rest of a result that is too long for
	// one value. That result is the first of uncommitted until the last fragment is
	// committed.
	fragments []bookkeeper.EncodedSegment
	// rejections limits the segments of a job whose values the key-value service rejected.
	rejections rejections
}

// newActiveJob returns a job with the items that have no committed result. They continue
// from the progress in the handover, which may be nil.
func newActiveJob(record *librarian.Record, job bookkeeper.Job, handover *Handover) *activeJob {
	if handover == nil {
		handover = &Handover{}
	}

	ctx, cancel := context.WithCancel(context.Background())
	active := &activeJob{
		record: record, job: job, context: ctx, cancel: cancel, previousOwner: handover.From,
		unfinished: map[string]*task{}, uncommitted: withoutCommitted(handover.Finished, record.CommittedIDs()),
	}

	finished := map[string]bool{}
	for _, result := range active.uncommitted {
		finished[result.ID] = true
	}

	for _, task := range newTasks(record.UncommittedItems(), handover.Partials) {
		if !finished[task.item.ID] {
			active.waiting = append(active.waiting, task)
			active.unfinished[task.item.ID] = task
		}
	}

	return active
}

// removeTask removes an item that needs no further attempt.
func (active *activeJob) removeTask(removed *task) {
	delete(active.unfinished, removed.item.ID)
	active.waiting = slices.DeleteFunc(active.waiting, func(other *task) bool { return other == removed })
}

// task is an item without a result. One goroutine at a time changes it; others read its
// output.
type task struct {
	item bookkeeper.Item

	mutex sync.Mutex
	// output joins the data of the eventCount events received so far; lastEvent is the
	// number of the last one, or -1.
	output     strings.Builder
	eventCount int
	lastEvent  int

	// software is the software version of the servers that sent the output.
	software string
	// heldSince is since when the item waits for a server of that version; zero if it does not.
	heldSince time.Time

	// failures counts the failed attempts, which the route limits.
	failures int
	// interruptions counts interrupted attempts that received no event.
	interruptions int
	// avoidServers are the backend servers to exclude from the next attempt, at most
	// maxAvoidedServers: the last ones failed or were interrupted there.
	avoidServers []string
	// serverEnds are the backend servers that ended before they began to answer the item.
	serverEnds serverEnds
	// trial is set while the item is suspected to end servers, so that it is tried by itself.
	trial bool
	// checked is true once a part of the prompt was found to be quarantined.
	checked bool
	// quarantinedPart is the part of the prompt for which the item may not run; empty if it
	// may.
	quarantinedPart string
	// awaitsConfiguration is set while the item waits for the configuration by which its job
	// was accepted.
	awaitsConfiguration bool
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// maxAvoidedServers is more than the servers that usually fail together.
const maxAvoidedServers = 8

// avoid excludes a server from the next attempts.
func (task *task) avoid(server string) {
	task.avoidServers = append(task.avoidServers, server)
	task.avoidServers = task.avoidServers[max(0, len(task.avoidServers)-maxAvoidedServers):]
}

// recordFailure counts a failed attempt.
func (task *task) recordFailure() {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	task.failures++
}

// begins records the software version of the server that the item begins at, or begins anew.
func (task *task) begins(software string) {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	task.software = software
}

// discardOutput lets the item begin anew.
func (task *task) discardOutput() {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	task.output.Reset()
	task.eventCount, task.lastEvent, task.software, task.heldSince = 0, -1, "", time.Time{}
}

// addEvent appends the data of the event with the number to the output.
func (task *task) addEvent(number int, data []byte) {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	if task.eventCount > 0 {
		task.output.WriteByte('\n')
	}

	task.output.Write(data)
	task.eventCount++
	task.lastEvent = number
}

// partial returns the progress of the task so far.
func (task *task) partial() bookkeeper.Partial {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	return bookkeeper.Partial{After: task.lastEvent, Events: task.eventCount, Output: task.output.String(), Software: task.software, Failures: task.failures}
}

// newTask returns a task that continues after the output that was saved.
func newTask(item bookkeeper.Item, saved bookkeeper.Partial) *task {
	created := &task{item: item, lastEvent: -1, failures: saved.Failures}
	if saved.Events == 0 {
		return created
	}

	created.output.WriteString(saved.Output)
	created.eventCount, created.lastEvent, created.software = saved.Events, saved.After, saved.Software

	return created
}

// newTasks returns the tasks of items, with the saved output of each.
func newTasks(items []bookkeeper.Item, partials map[string]bookkeeper.Partial) []*task {
	tasks := []*task{}
	for _, item := range items {
		tasks = append(tasks, newTask(item, partials[item.ID]))
	}

	return tasks
}
