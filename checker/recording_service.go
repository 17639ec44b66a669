package checker

import (
	"context"

	"limpetrail/driver"
)

// RecordingService forwards calls to a plain service and records them.
type RecordingService struct {
	driver.Service
	History *History
	// Server is the name of the backend server.
	Server string
	// RequestIDOf returns the request's ID, given that of a call; see
	// Event.Request.
	RequestIDOf func(id string) string
}

var _ driver.Service = (*RecordingService)(nil)

// NewRecordingService returns a service that records the calls to the given one.
func NewRecordingService(history *History, server string, service driver.Service, requestIDOf func(id string) string) *RecordingService {
	return &RecordingService{Service: service, History: history, Server: server, RequestIDOf: requestIDOf}
}

// Call implements driver.Service.
func (service *RecordingService) Call(ctx context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	service.History.Add(Event{Kind: KindStarted, Request: service.RequestIDOf(call.RequestID), BackendServer: service.Server})

	return service.Service.Call(ctx, call)
}
