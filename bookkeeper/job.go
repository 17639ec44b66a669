package bookkeeper

import (
	"time"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Target string
	Header map[string]string
	Body   []byte
}

// Job is many requests that run later.
type Job struct {
	ID    string
	Host  string
	Items []Item
	// Submitted is when the job was first seen here.
	Submitted time.Time
	// Due is when all results are wanted.
	Due time.Time
	// GiveUp is from when items may be given up.
	GiveUp time.Time
}
