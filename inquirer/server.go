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
	// maxQueryBytes is far more than a query's few dozen bytes.
	maxQueryBytes = 4 << 10
	// maxWait is the longest wait for a result. Peers ask for a second.
	maxWait = 2 * time.Second
	// maxWaitingReaders is the maximum number of concurrent queries. Peers whose queries are
	// refused read from the key-value service.
	maxWaitingReaders = 512
)

// Server answers queries for results of the jobs that this process owns.
type Server struct {
	kernel.Common
	Records *librarian.Librarian

	// waiting is a semaphore that limits concurrent queries to maxWaitingReaders.
	waiting chan struct{}
}

// NewServer returns a server that answers from the librarian's records.
func NewServer(common kernel.Common, records *librarian.Librarian) *Server {
	return &Server{Common: common.ForPart("inquirer"), Records: records, waiting: make(chan struct{}, maxWaitingReaders)}
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := resultsQuery{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxQueryBytes)).Decode(&query); err != nil || query.After < 0 {
		http.Error(writer, "The question cannot be read.", http.StatusBadRequest)

		return
	}

	select {
	case server.waiting <- struct{}{}:
		defer func() { <-server.waiting }()
	default:
		http.Error(writer, "Too many wait for results.", http.StatusConflict)

		return
	}

	page, complete := server.Records.ReadForPeer(request.Context(), query.JobID, query.After, min(maxWait, query.Wait))
	if !complete {
		http.Error(writer, "This process is not certain to own the job.", http.StatusConflict)

		return
	}

	if err := json.NewEncoder(writer).Encode(page); err != nil {
		server.Log.WithField("JobID", query.JobID).WithError(err).Info("Results could not be sent to the process that asked for them.")
	}
}
