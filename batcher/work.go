package batcher

import (
	"context"
	"strings"
	"time"
)

// work is the part of a record that its owner has: the items that are not
// listed yet.
type work struct {
	record *record
	job    Job
	// context ends when the job is ended or has another owner.
	context context.Context //nolint:containedctx // It is the life of the ownership.
	cancel  context.CancelFunc
	// waiting holds items that want a place.
	waiting []*task
	// running is how many items have a place.
	running int
	// finished holds results that are not listed yet.
	finished []Result
	// proposed is the segment whose listing is under way or of unknown fate. It
	// is proposed unchanged until that is known.
	proposed *segment
}

// task is an item on its way. One goroutine at a time has it.
type task struct {
	item Item
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

// add takes in data of the event with the number.
func (task *task) add(number int, data []byte) {
	if task.events > 0 {
		task.output.WriteByte('\n')
	}

	task.output.Write(data)
	task.events++
	task.after = number
}

// unlisted returns the items that have no result yet.
func unlisted(items []Item, results []Result) []*task {
	listed := map[string]bool{}
	for _, result := range results {
		listed[result.ID] = true
	}

	tasks := []*task{}

	for _, item := range items {
		if !listed[item.ID] {
			tasks = append(tasks, &task{item: item, after: -1})
		}
	}

	return tasks
}
