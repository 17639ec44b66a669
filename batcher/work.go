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

// work is the part of a record that its owner has: the items that are not
// listed yet.
type work struct {
	record *librarian.Record
	job    bookkeeper.Job
	// context ends when the job is ended or has another owner.
	context context.Context //nolint:containedctx // It is the life of the ownership.
	cancel  context.CancelFunc
	// claimed work lists its results: the head names this process. Other work waits
	// for that, and claiming tells that it is being brought about.
	claimed, claiming bool
	// from is the owner that handed the job over, or empty.
	from string
	// listed holds the items that earlier owners had listed when the job was claimed.
	listed map[string]bool
	// waiting holds items that want a place.
	waiting []*task
	// unfinished holds all items without a result, waiting or running, by ID.
	unfinished map[string]*task
	// saved is how far the work was when its partial output was last saved: its
	// events and failed attempts.
	saved int
	// running is how many items have a place.
	running int
	// finished holds results that are not listed yet.
	finished []bookkeeper.Result
	// proposed is the segment whose listing is under way or of unknown fate. It
	// is proposed unchanged until that is known.
	proposed *bookkeeper.Segment
}

// newWork returns the work on the items of a job that are not listed. It goes on where
// a handover ends; nil for none.
func newWork(record *librarian.Record, job bookkeeper.Job, handover *Handover) *work {
	if handover == nil {
		handover = &Handover{}
	}

	ctx, cancel := context.WithCancel(context.Background())
	made := &work{
		record: record, job: job, context: ctx, cancel: cancel, from: handover.From,
		unfinished: map[string]*task{}, finished: unlisted(handover.Finished, record.Listed()),
	}

	done := map[string]bool{}
	for _, result := range made.finished {
		done[result.ID] = true
	}

	for _, task := range tasksOf(record.Unlisted(), handover.Partials) {
		if !done[task.item.ID] {
			made.waiting = append(made.waiting, task)
			made.unfinished[task.item.ID] = task
		}
	}

	return made
}

// forget takes an item out that needs no result any more.
func (work *work) forget(forgotten *task) {
	delete(work.unfinished, forgotten.item.ID)
	work.waiting = slices.DeleteFunc(work.waiting, func(other *task) bool { return other == forgotten })
}

// task is an item on its way. One goroutine at a time works on it; others read
// its output.
type task struct {
	item bookkeeper.Item

	mutex sync.Mutex
	// output is the data of the events so far; after is the last one's number.
	output strings.Builder
	events int
	after  int

	// failures counts answers that are failed attempts.
	failures int
	// bounces counts attempts that did not run or were cut.
	bounces int
	// avoid is the server of the last attempt that failed.
	avoid string
	// notBefore delays the next attempt.
	notBefore time.Time
}

// fail counts a failed attempt.
func (task *task) fail() {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	task.failures++
}

// add takes in data of the event with the number.
func (task *task) add(number int, data []byte) {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	if task.events > 0 {
		task.output.WriteByte('\n')
	}

	task.output.Write(data)
	task.events++
	task.after = number
}

// partial returns the output so far.
func (task *task) partial() bookkeeper.Partial {
	task.mutex.Lock()
	defer task.mutex.Unlock()

	return bookkeeper.Partial{After: task.after, Events: task.events, Output: task.output.String(), Failures: task.failures}
}

// newTask returns a task that goes on after what an earlier owner saved.
func newTask(item bookkeeper.Item, saved bookkeeper.Partial) *task {
	made := &task{item: item, after: -1, failures: saved.Failures}
	if saved.Events == 0 {
		return made
	}

	made.output.WriteString(saved.Output)
	made.events, made.after = saved.Events, saved.After

	return made
}

// tasksOf returns the tasks of items, with what earlier owners saved.
func tasksOf(items []bookkeeper.Item, partials map[string]bookkeeper.Partial) []*task {
	tasks := []*task{}
	for _, item := range items {
		tasks = append(tasks, newTask(item, partials[item.ID]))
	}

	return tasks
}
