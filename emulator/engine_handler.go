package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/driver"
)

// EngineHandler serves an Engine over HTTP with the API that driver.HTTPEngine calls.
type EngineHandler struct {
	Engine *Engine
	mux    *http.ServeMux
}

var _ http.Handler = (*EngineHandler)(nil)

// NewEngineHandler returns a handler for the engine.
func NewEngineHandler(engine *Engine) *EngineHandler {
	handler := &EngineHandler{Engine: engine, mux: http.NewServeMux()}
	handler.mux.Handle("/faults", engine.Faults)
	handler.mux.HandleFunc("POST "+driver.PathGenerate, handler.generate)
	handler.mux.HandleFunc("POST "+driver.PathCancel, handler.cancel)
	handler.mux.HandleFunc("POST "+driver.PathLoad, handler.load)
	handler.mux.HandleFunc("POST "+driver.PathOrder, handler.order)

	return handler
}

// ServeHTTP implements http.Handler.
func (handler *EngineHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.mux.ServeHTTP(writer, request)
}

func (handler *EngineHandler) generate(writer http.ResponseWriter, request *http.Request) {
	generation, valid := decodeRequest[driver.Generation](writer, request)
	if !valid {
		return
	}

	stream, err := handler.Engine.Generate(request.Context(), generation)
	if err != nil {
		writeError(writer, err)

		return
	}
	defer stream.Close()

	encoder := json.NewEncoder(writer)

	for {
		token, err := stream.Next()
		if err != nil {
			// A broken stream closes the connection without a final token.
			panic(http.ErrAbortHandler)
		}

		if err := encoder.Encode(token); err != nil {
			return
		}

		if err := http.NewResponseController(writer).Flush(); err != nil {
			return
		}

		if token.Finish != "" {
			return
		}
	}
}

func (handler *EngineHandler) cancel(writer http.ResponseWriter, request *http.Request) {
	generation, valid := decodeRequest[driver.Generation](writer, request)
	if !valid {
		return
	}

	if err := handler.Engine.Cancel(request.Context(), generation.ID); err != nil {
		writeError(writer, err)
	}
}

func (handler *EngineHandler) load(writer http.ResponseWriter, request *http.Request) {
	load, err := handler.Engine.Load(request.Context())
	if err != nil {
		writeError(writer, err)

		return
	}

	writeJSON(writer, load)
}

func (handler *EngineHandler) order(writer http.ResponseWriter, request *http.Request) {
	order, valid := decodeRequest[driver.Order](writer, request)
	if !valid {
		return
	}

	if err := handler.Engine.Order(request.Context(), order); err != nil {
		writeError(writer, err)
	}
}

func decodeRequest[T any](writer http.ResponseWriter, request *http.Request) (T, bool) {
	var value T

	if err := json.NewDecoder(request.Body).Decode(&value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return value, false
	}

	return value, true
}

func writeError(writer http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable

	switch {
	case errors.Is(err, errors.NotValid):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, errors.Forbidden):
		status = http.StatusForbidden
	}

	http.Error(writer, err.Error(), status)
}
