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

// completionParameters holds the fields of a request body that the entry reads.
// The engine gets the whole body.
type completionParameters struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Prompt or Messages holds the text as sent, depending on the endpoint.
	// Requests whose texts share a prefix are routed to the same replica.
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens is nil if the caller sets no limit.
	MaxTokens *int `json:"max_tokens"`
}

// serveCompletion validates a completion request and runs it.
func (inference *Inference) serveCompletion(writer http.ResponseWriter, request *http.Request, format responseFormat) {
	inbound := inference.receive(writer, request, format.newRequestID())
	inbound.requireJSON()
	key := inbound.idempotencyKey()
	body := inbound.readBody()
	parameters := inbound.parseCompletion(body)
	index := inference.Publisher.Current().Index
	call := dispatcher.Call{}

	if parameters.Model == "" {
		inbound.findWorkspace(index)
	} else {
		call = inbound.newCall(index, editor.ServiceKindModel, "model", parameters.Model)
	}

	if inbound.refuseIfInvalid() {
		return
	}

	call.Path = request.URL.Path
	call.Body = body
	call.PrefixKeys = router.PrefixKeys(parameters.promptText())
	inference.dispatch(request.Context(), call, key, newCompletionSink(writer, format, parameters))
}

// promptText returns the text that determines hits in the engine's prefix cache.
func (parameters completionParameters) promptText() []byte {
	if len(parameters.Messages) > 0 {
		return parameters.Messages
	}

	return parameters.Prompt
}

// parseCompletion parses and validates the body of a completion request.
func (inbound *inboundRequest) parseCompletion(body []byte) completionParameters {
	parameters := completionParameters{}

	if inbound.status == http.StatusRequestEntityTooLarge {
		return parameters
	}

	err := json.Unmarshal(body, &parameters)

	var typeError *json.UnmarshalTypeError

	switch {
	case errors.As(err, &typeError) && typeError.Field != "":
		inbound.addFault(http.StatusBadRequest, typeError.Field, typeError.Value, "give a "+typeError.Type.String())
	case err != nil:
		inbound.addFault(http.StatusBadRequest, "body", err.Error(), "send one JSON object")
	case parameters.Model == "":
		inbound.addFault(http.StatusBadRequest, "model", "", "name the service to call")
	}

	if err != nil {
		return parameters
	}

	if parameters.MaxTokens != nil && *parameters.MaxTokens < 1 {
		inbound.addFault(http.StatusBadRequest, "max_tokens", strconv.Itoa(*parameters.MaxTokens), "give a whole number above 0, or leave it out")
	}

	if raw := parameters.Messages; !isAbsent(raw) && raw[0] != '[' {
		inbound.addFault(http.StatusBadRequest, "messages", string(raw), "give a list of messages")
	}

	if raw := parameters.Prompt; !isAbsent(raw) && raw[0] != '"' && raw[0] != '[' {
		inbound.addFault(http.StatusBadRequest, "prompt", string(raw), "give a text or a list")
	}

	return parameters
}

// isAbsent reports whether a field is missing or null.
func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null"
}
