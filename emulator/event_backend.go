package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/forwarder"
	"limpetrail/placer"
)

// EventBackend sends requests to EventServers, with the default header names.
type EventBackend struct {
	Exchanger *exchanger.Exchanger
}

var _ forwarder.Backend = (*EventBackend)(nil)

// NewEventBackend returns a backend that uses the exchanger's connections.
func NewEventBackend(connections *exchanger.Exchanger) *EventBackend {
	return &EventBackend{Exchanger: connections}
}

// Send implements forwarder.Backend.
func (backend *EventBackend) Send(ctx context.Context, server placer.Server, call *forwarder.Call, attempt forwarder.Attempt) (forwarder.Reply, error) {
	headers := DefaultEventHeaders()
	header := http.Header{}
	header.Set(headers.RequestID, call.ID)
	header.Set(headers.ExpectedServer, server.ID)
	header.Set(headers.PromptParts, call.Header.Get(headers.PromptParts))

	if attempt.LastEventID >= 0 {
		header.Set("Last-Event-Id", strconv.Itoa(attempt.LastEventID))
	}

	answer, err := backend.Exchanger.Exchange(ctx, server.Address,
		exchanger.Request{Method: http.MethodPost, Target: call.Target, Host: call.Host, Header: header, Body: call.Body},
		exchanger.ExchangeOptions{HeadDeadline: call.Deadline, Withdrawn: attempt.Withdrawn, Repeatable: attempt.Repeatable})
	if err != nil {
		return forwarder.Reply{}, errors.Trace(err)
	}

	reply := forwarder.Reply{Answer: answer, Leaving: answer.Header.Get(headers.Leaving) != ""}

	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		reply.Kind = forwarder.Misdirected
	case answer.Header.Get(headers.NotRun) != "":
		reply.Kind = forwarder.Full
	case answer.Header.Get(headers.RequestID) != call.ID:
		reply.Kind = forwarder.Mismatched
	}

	if reply.Kind != forwarder.Served {
		answer.Close()
	}

	return reply, nil
}

// SharedParts implements forwarder.Backend: all parts but the last are shared.
func (backend *EventBackend) SharedParts(header http.Header) []string {
	parts := strings.Split(header.Get(DefaultEventHeaders().PromptParts), ",")

	return parts[:len(parts)-1]
}

// HasEnded implements forwarder.Backend.
func (backend *EventBackend) HasEnded(ctx context.Context, server placer.Server) bool {
	return backend.Exchanger.Refuses(ctx, server.Address)
}

// ReportStart implements forwarder.Backend.
func (backend *EventBackend) ReportStart(ctx context.Context, server placer.Server) (int64, error) {
	deadline, _ := ctx.Deadline()

	answer, err := backend.Exchanger.Exchange(ctx, server.Address,
		exchanger.Request{Method: http.MethodGet, Target: reportPath, Host: server.Address, Header: http.Header{}}, exchanger.ExchangeOptions{HeadDeadline: deadline})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer answer.Close()

	report := struct {
		Born int64 `json:"born"`
	}{}

	err = json.NewDecoder(answer).Decode(&report)

	return report.Born, errors.Trace(err)
}
