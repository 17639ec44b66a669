package presenter

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"limpetrail/classifier"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/publisher"
)

// OperatorHeader is the header with the operator's name. The platform's proxy
// authenticates the operator and sets it.
const OperatorHeader = "X-Limpetrail-Operator"

// ConfigurationPath is the path of the configuration API.
const ConfigurationPath = "/v1/configuration"

// maxEditBytes limits the body of an edit: the document and the other fields of
// EditRequest.
const maxEditBytes = keeper.MaxValueBytes + 64<<10

// historyRetryAfter is the Retry-After of a failed request for the history.
const historyRetryAfter = 5 * time.Second

// Configuration is the document in force at the answering entry.
type Configuration struct {
	Revision keeper.Revision
	Document *editor.Document
}

// EditRequest is the body of an edit.
type EditRequest struct {
	// Revision is the revision of the document that the operator read and changed.
	Revision keeper.Revision
	Document editor.Document
	// Mark is unique to the edit. An edit that is sent again with its mark is applied
	// only once.
	Mark string
	// DryRun validates the edit and returns the differences without writing.
	DryRun bool
}

// API serves the document, its history and edits of it as JSON.
type API struct {
	kernel.Common
	Editor    *editor.Editor
	Publisher *publisher.Publisher
}

// NewAPI returns the routes of the configuration API.
func NewAPI(common kernel.Common, edits *editor.Editor, documents *publisher.Publisher) *API {
	return &API{Common: common.ForPart("presenter"), Editor: edits, Publisher: documents}
}

// Register adds the routes to a mux.
func (api *API) Register(mux *http.ServeMux) {
	protection := http.NewCrossOriginProtection()
	mux.HandleFunc("GET "+ConfigurationPath, api.show)
	mux.HandleFunc("GET "+ConfigurationPath+"/history", api.history)
	mux.Handle("POST "+ConfigurationPath, protection.Handler(http.HandlerFunc(api.edit)))
}

func (api *API) show(writer http.ResponseWriter, _ *http.Request) {
	current := api.Publisher.Current()
	writeJSON(writer, http.StatusOK, Configuration{Revision: current.Revision, Document: current.Index.Document})
}

func (api *API) history(writer http.ResponseWriter, request *http.Request) {
	record, _, err := api.Editor.Read(request.Context())
	if err != nil {
		outcome := classifier.NewNotRun("the key-value service gave no answer: "+err.Error(), historyRetryAfter)
		classifier.NewProblem(http.StatusServiceUnavailable, "", outcome).Write(writer)

		return
	}

	changes := record.History
	if changes == nil {
		changes = []editor.Change{}
	}

	writeJSON(writer, http.StatusOK, changes)
}

func (api *API) edit(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxEditBytes))
	if err != nil {
		classifier.NewProblem(http.StatusRequestEntityTooLarge, "", classifier.NewNotRun(err.Error(), 0)).Write(writer)

		return
	}

	received := EditRequest{}

	faults := editor.CheckFields(body, &received)
	if len(faults) == 0 {
		if err := json.Unmarshal(body, &received); err != nil {
			faults = []classifier.Fault{{Field: "(body)", Remedy: err.Error()}}
		}
	}

	if len(faults) > 0 {
		writeResult(writer, editor.Result{Verdict: editor.VerdictInvalid, Faults: faults})

		return
	}

	writeResult(writer, api.Editor.Apply(request.Context(), editor.Edit{
		Operator: request.Header.Get(OperatorHeader),
		Revision: received.Revision,
		Document: &received.Document,
		Mark:     received.Mark,
		DryRun:   received.DryRun,
	}))
}

// writeResult writes the result as JSON, with the HTTP status of its verdict.
func writeResult(writer http.ResponseWriter, result editor.Result) {
	if result.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(result.RetryAfter.Seconds()))))
	}

	writeJSON(writer, httpStatus(result.Verdict), result)
}

// httpStatus returns the HTTP status of a verdict.
func httpStatus(verdict editor.Verdict) int {
	switch verdict {
	case editor.VerdictApplied, editor.VerdictUnchanged, editor.VerdictPassed:
		return http.StatusOK
	case editor.VerdictInvalid:
		return http.StatusUnprocessableEntity
	case editor.VerdictConflict, editor.VerdictStale:
		return http.StatusConflict
	case editor.VerdictForbidden:
		return http.StatusForbidden
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write error means that the client is gone.
	_ = json.NewEncoder(writer).Encode(value)
}
