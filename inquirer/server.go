package inquirer

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"limpetrail/kernel"
	"limpetrail/librarian"
)

const (
	// maxQuestionBytes is far above a question's few dozen bytes.
	maxQuestionBytes = 4 << 10
	// maxWait bounds how long an asker is kept waiting; callers wait a second.
	maxWait = 2 * time.Second
	// maxAtOnce bounds the askers that wait; beyond it they read the key-value
	// service.
	maxAtOnce = 512
)

// Server answers for the jobs that this process owns.
type Server struct {
	kernel.Common
	Jobs *librarian.Librarian

	places chan struct{}
}

// NewServer returns a server of the librarian's jobs.
func NewServer(common kernel.Common, jobs *librarian.Librarian) *Server {
	return &Server{Common: common.ForPart("inquirer"), Jobs: jobs, places: make(chan struct{}, maxAtOnce)}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	asked := question{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxQuestionBytes)).Decode(&asked); err != nil || asked.After < 0 {
		http.Error(writer, "The question cannot be read.", http.StatusBadRequest)

		return
	}

	select {
	case server.places <- struct{}{}:
		defer func() { <-server.places }()
	default:
		http.Error(writer, "Too many wait for results.", http.StatusConflict)

		return
	}

	reading, certain := server.Jobs.ReadOwned(request.Context(), asked.JobID, asked.After, min(maxWait, asked.Wait))
	if !certain {
		http.Error(writer, "This process is not certain to own the job.", http.StatusConflict)

		return
	}

	if err := json.NewEncoder(writer).Encode(reading); err != nil {
		server.Log.WithField("JobID", asked.JobID).WithError(err).Info("Results were not sent to another process.")
	}
}
