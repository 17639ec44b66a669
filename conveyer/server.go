package conveyer

import (
	"encoding/json"
	"io"
	"net/http"

	"limpetrail/batcher"
	"limpetrail/kernel"
)

// maxHandoverBytes bounds a handover: the bodies of a job and its output so far, some
// megabytes each, in base64.
const maxHandoverBytes = 32 << 20

// Server takes the jobs that others hand over.
type Server struct {
	kernel.Common
	// Adopt begins the work on a job, and tells whether it did.
	Adopt func(handover batcher.Handover) bool
}

// NewServer returns a server that hands jobs to adopt.
func NewServer(common kernel.Common, adopt func(handover batcher.Handover) bool) *Server {
	return &Server{Common: common.ForPart("conveyer"), Adopt: adopt}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handover := batcher.Handover{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxHandoverBytes)).Decode(&handover); err != nil {
		server.Log.WithError(err).Warn("Handover of a job cannot be read.")
		http.Error(writer, "The handover cannot be read.", http.StatusBadRequest)

		return
	}

	if err := handover.Validate(); err != nil {
		server.Log.WithField("JobID", handover.Job.ID).WithError(err).Warn("Handover of a job is not valid.")
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	if !server.Adopt(handover) {
		http.Error(writer, "This process stops, or has the job.", http.StatusConflict)
	}
}
