package driver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// Paths of the engine's HTTP interface.
const (
	PathGenerate = "/generate"
	PathCancel   = "/cancel"
	PathLoad     = "/load"
	PathOrder    = "/order"
)

// maxTokenLineBytes bounds one line of a stream, and any other answer.
const maxTokenLineBytes = 1 << 20

// HTTPEngine calls an engine over HTTP with JSON requests. The engine streams its
// answer as one JSON token per line.
type HTTPEngine struct {
	limitedServer

	Address string
	Client  *http.Client
}

var _ Engine = (*HTTPEngine)(nil)

func init() {
	EngineAdapters.Register("http", func(common kernel.Common, address string) (Engine, error) {
		engine := NewHTTPEngine(address)
		engine.log = common.ForPart("driver").Log

		return engine, nil
	})
}

// NewHTTPEngine returns a client of the engine at the address (host:port).
func NewHTTPEngine(address string) *HTTPEngine {
	return &HTTPEngine{Address: address, Client: newClient()}
}

// Generate implements Engine. The caller has a reservation.
func (engine *HTTPEngine) Generate(ctx context.Context, generation Generation) (Stream, error) {
	response, err := engine.post(ctx, PathGenerate, generation)
	if err != nil {
		return nil, errors.Trace(err)
	}

	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxTokenLineBytes)

	return &lineStream{body: response.Body, scanner: scanner}, nil
}

// Cancel implements Engine.
func (engine *HTTPEngine) Cancel(ctx context.Context, id string) error {
	response, err := engine.post(ctx, PathCancel, Generation{ID: id})
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(response.Body.Close())
}

// Load implements Engine.
func (engine *HTTPEngine) Load(ctx context.Context) (Load, error) {
	engine.Count(time.Now())

	response, err := engine.post(ctx, PathLoad, struct{}{})
	if err != nil {
		return Load{}, errors.Trace(err)
	}
	defer response.Body.Close()

	load := Load{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxTokenLineBytes)).Decode(&load)

	return load, errors.Trace(err)
}

// Order implements Engine.
func (engine *HTTPEngine) Order(ctx context.Context, order Order) error {
	engine.Count(time.Now())

	response, err := engine.post(ctx, PathOrder, order)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(response.Body.Close())
}

func (engine *HTTPEngine) post(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}

	response, err := engine.send(ctx, engine.Client, engine.Address, path, body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return nil, errors.Annotatef(err, "engine %s", path)
	}

	if response.StatusCode == http.StatusOK {
		return response, nil
	}

	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxTokenLineBytes))
	response.Body.Close()

	if response.StatusCode == http.StatusForbidden {
		return nil, errors.Forbiddenf("engine %s: %s", path, detail)
	}

	if response.StatusCode == http.StatusUnprocessableEntity || response.StatusCode == http.StatusBadRequest {
		return nil, errors.NotValidf("engine %s: %s", path, detail)
	}

	return nil, errors.Errorf("engine %s answered %s: %s", path, response.Status, detail)
}

// lineStream reads one JSON token per line.
type lineStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// finished is set after the last token was read.
	finished bool
}

// Next implements Stream.
func (stream *lineStream) Next() (Token, error) {
	if stream.finished {
		return Token{}, io.EOF
	}

	if !stream.scanner.Scan() {
		if err := stream.scanner.Err(); err != nil {
			return Token{}, errors.Trace(err)
		}

		return Token{}, errors.Trace(io.ErrUnexpectedEOF)
	}

	token := Token{}
	if err := json.Unmarshal(stream.scanner.Bytes(), &token); err != nil {
		return Token{}, errors.Annotate(err, "decoding a token")
	}

	stream.finished = token.Finish != ""

	return token, nil
}

// Close implements Stream.
func (stream *lineStream) Close() error {
	return errors.Trace(stream.body.Close())
}
