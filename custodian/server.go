package custodian

import (
	"encoding/json"
	"io"
	"net/http"

	"limpetrail/bookkeeper"
)

const (
	// Path is the path of both calls: POST stores a job, GET tells whether it is held.
	Path = "/v1/held"
	// parameterID is the parameter of a query with the ID of the job.
	parameterID = "id"
	// parameterWorkspace is the parameter with the reader's workspace, or empty if it has none. It is
	// missing if the reader may read all jobs.
	parameterWorkspace = "workspace"
	// maxJobBytes is the maximum size of an encoded job: more than the key-value service
	// stores of one.
	maxJobBytes = 24 << 20
)

// Register adds the handlers of the custodian's calls to a mux.
func (custodian *Custodian) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+Path, custodian.handleAccept)
	mux.HandleFunc("GET "+Path, custodian.handleQuery)
}

func (custodian *Custodian) handleAccept(writer http.ResponseWriter, request *http.Request) {
	job := bookkeeper.Job{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxJobBytes)).Decode(&job); err != nil || job.ID == "" {
		http.Error(writer, "The body is no job.", http.StatusBadRequest)

		return
	}

	if err := custodian.Accept(job); err != nil {
		custodian.Log.WithField("JobID", job.ID).WithError(err).Warn("Job could not be accepted.")
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

func (custodian *Custodian) handleQuery(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()

	reader := bookkeeper.Reader{Restricted: query.Has(parameterWorkspace), Workspace: query.Get(parameterWorkspace)}
	if !custodian.HoldsFor(query.Get(parameterID), reader) {
		http.Error(writer, "No such job is held here.", http.StatusNotFound)
	}
}
