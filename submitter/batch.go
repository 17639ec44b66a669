package submitter

import (
	"time"

	"limpetrail/scheduler"
)

// batch is a job's representation in the API.
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
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
	// Due is the job's deadline. It and the following fields extend the usual format.
	Due       time.Time `json:"Due,omitzero"`
	Service   string    `json:"Service,omitempty"`
	Workspace string    `json:"Workspace,omitempty"`
	Owner     string    `json:"Owner,omitempty"`
}

// requestCounts counts a job's items by outcome. Failed counts those that ended
// without an answer, including MayHaveRun, whose effect is unknown.
type requestCounts struct {
	Total      int `json:"total"`
	Completed  int `json:"completed"`
	Failed     int `json:"failed"`
	MayHaveRun int `json:"MayHaveRun"`
	Cancelled  int `json:"Cancelled"`
}

// batchStatuses maps a job's state to its status in the API.
var batchStatuses = map[scheduler.State]string{
	scheduler.Open:       "in_progress",
	scheduler.Cancelling: "cancelling",
	scheduler.Cancelled:  "cancelled",
	scheduler.Completed:  "completed",
}

func newBatch(record scheduler.Record) batch {
	answer := batch{
		ID:               record.ID,
		Object:           "batch",
		Endpoint:         record.Endpoint,
		InputFileID:      record.FileID,
		CompletionWindow: record.Due.Sub(record.Created).Round(time.Second).String(),
		Status:           batchStatuses[record.State],
		OutputFileID:     outputPrefix + record.ID,
		CreatedAt:        record.Created.Unix(),
		ExpiresAt:        record.Due.Unix(),
		RequestCounts: requestCounts{
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
		answer.CompletedAt = record.Ended.Unix()
	}

	return answer
}
