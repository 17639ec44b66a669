package conveyer

import (
	"encoding/json"
	"io"
	"net/http"

	"limpetrail/batcher"
	"limpetrail/kernel"
)

// maxHandoverBytes is the maximum size of a handover: the bodies of a job and its output
// so far, some megabytes each, in base64.
const maxHandoverBytes = 32 << 20

// Server receives the jobs that other processes hand over.
type Server struct {
	kernel.Common
	// AcceptHandover starts a job that was handed over, and tells whether it started it.
	AcceptHandover func(handover batcher.Handover) bool
}

// NewServer returns a server that passes valid handovers to acceptHandover.
func NewServer(common kernel.Common, acceptHandover func(handover batcher.Handover) bool) *Server {
	return &Server{Common: common.ForPart("conveyer"), AcceptHandover: acceptHandover}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handover := batcher.Handover{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxHandoverBytes)).Decode(&handover); err != nil {
		server.Log.WithError(err).Warn("Handover of a job could not be decoded.")
		http.Error(writer, "The handover cannot be read.", http.StatusBadRequest)

		return
	}

	if err := handover.Validate(); err != nil {
		server.Log.WithField("JobID", handover.Job.ID).WithError(err).Warn("Handover of a job is not valid.")
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	if !server.AcceptHandover(handover) {
		http.Error(writer, "This process stops, or has the job.", http.StatusConflict)
	}
}
