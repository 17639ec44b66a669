package handler

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"limpetrail/dispatcher"
	"limpetrail/editor"
	"limpetrail/router"
)

// completionRequest is what the entry reads of a caller's body; the engine
// reads the rest.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Prompt and Messages are the text as sent, one of them; requests whose
	// texts begin alike go to the same replica.
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens is nil where the caller sets no limit.
	MaxTokens *int `json:"max_tokens"`
}

func (inference *Inference) complete(writer http.ResponseWriter, request *http.Request, shape shape) {
	arrival := inference.arrive(writer, request, shape.newID())
	arrival.wantJSON()
	key := arrival.key()
	body := arrival.body()
	wanted := arrival.completion(body)
	index := inference.Publisher.Current().Index
	call := dispatcher.Call{}

	if wanted.Model == "" {
		arrival.workspace(index)
	} else {
		call = arrival.call(index, editor.ServiceKindModel, "model", wanted.Model)
	}

	if arrival.refused() {
		return
	}

	call.Path = request.URL.Path
	call.Body = body
	call.PrefixKeys = router.PrefixKeys(wanted.text())
	inference.run(request.Context(), call, key, newCompletionSink(writer, shape, wanted))
}

// text is what the engine's prefix cache is keyed by.
func (wanted completionRequest) text() []byte {
	if len(wanted.Messages) > 0 {
		return wanted.Messages
	}

	return wanted.Prompt
}

// completion reads the body of a completion.
func (arrival *arrival) completion(body []byte) completionRequest {
	wanted := completionRequest{}

	if arrival.status == http.StatusRequestEntityTooLarge {
		return wanted
	}

	err := json.Unmarshal(body, &wanted)

	var mistyped *json.UnmarshalTypeError

	switch {
	case errors.As(err, &mistyped) && mistyped.Field != "":
		arrival.fault(http.StatusBadRequest, mistyped.Field, mistyped.Value, "give a "+mistyped.Type.String())
	case err != nil:
		arrival.fault(http.StatusBadRequest, "body", err.Error(), "send one JSON object")
	case wanted.Model == "":
		arrival.fault(http.StatusBadRequest, "model", "", "name the service to call")
	}

	if err != nil {
		return wanted
	}

	if wanted.MaxTokens != nil && *wanted.MaxTokens < 1 {
		arrival.fault(http.StatusBadRequest, "max_tokens", strconv.Itoa(*wanted.MaxTokens), "give a whole number above 0, or leave it out")
	}

	if given := wanted.Messages; !absent(given) && given[0] != '[' {
		arrival.fault(http.StatusBadRequest, "messages", string(given), "give a list of messages")
	}

	if given := wanted.Prompt; !absent(given) && given[0] != '"' && given[0] != '[' {
		arrival.fault(http.StatusBadRequest, "prompt", string(given), "give a text or a list")
	}

	return wanted
}

// absent tells whether a field was left out.
func absent(given json.RawMessage) bool {
	return len(given) == 0 || string(given) == "null"
}
