package submitter

import (
	"time"

	"limpetrail/scheduler"
)

// batch is a job as callers see it.
type batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint,omitempty"`
	InputFileID      string            `json:"input_file_id,omitempty"`
	CompletionWindow string            `json:"completion_window,omitempty"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	RequestCounts    counts            `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	// Due is when the job is to be complete.
	Due time.Time `json:"Due,omitzero"`
	// Service, Workspace and Owner are additions to the usual shape.
	Service   string `json:"Service,omitempty"`
	Workspace string `json:"Workspace,omitempty"`
	Owner     string `json:"Owner,omitempty"`
}

// counts sums up a job's items. Failed holds those without an answer, and
// MayHaveRun the part of them whose effect is unknown.
type counts struct {
	Total      int `json:"total"`
	Completed  int `json:"completed"`
	Failed     int `json:"failed"`
	MayHaveRun int `json:"MayHaveRun"`
	Cancelled  int `json:"Cancelled"`
}

// statuses are the usual words for the states.
var statuses = map[scheduler.State]string{
	scheduler.Open:       "in_progress",
	scheduler.Cancelling: "cancelling",
	scheduler.Cancelled:  "cancelled",
	scheduler.Completed:  "completed",
}

func newBatch(record scheduler.Record) batch {
	shown := batch{
		ID:               record.ID,
		Object:           "batch",
		Endpoint:         record.Endpoint,
		InputFileID:      record.FileID,
		CompletionWindow: record.Due.Sub(record.Created).Round(time.Second).String(),
		Status:           statuses[record.State],
		OutputFileID:     outputPrefix + record.ID,
		CreatedAt:        record.Created.Unix(),
		ExpiresAt:        record.Due.Unix(),
		RequestCounts: counts{
			Total:      record.Items,
			Completed:  record.Counts.Answered,
			Failed:     record.Counts.Failed + record.Counts.MayHaveRun,
			MayHaveRun: record.Counts.MayHaveRun,
			Cancelled:  record.Counts.Cancelled,
		},
		Metadata:  record.Metadata,
		Due:       record.Due,
		Service:   record.Service,
		Workspace: record.Workspace,
		Owner:     record.Owner,
	}

	if !record.Ended.IsZero() {
		shown.CompletedAt = record.Ended.Unix()
	}

	return shown
}
