package checker

import (
	"context"

	"limpetrail/driver"
)

// Service passes calls on to a plain service and records what reached it.
type Service struct {
	driver.Service
	History *History
	// Name is the backend server's.
	Name string
	// Request turns a call's ID into that of the request; see Event.Request.
	Request func(id string) string
}

var _ driver.Service = (*Service)(nil)

// NewService returns a service that records what reaches the given one.
func NewService(history *History, name string, service driver.Service, request func(id string) string) *Service {
	return &Service{Service: service, History: history, Name: name, Request: request}
}

// Call implements driver.Service.
func (service *Service) Call(ctx context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	service.History.Add(Event{Kind: KindStarted, Request: service.Request(call.RequestID), BackendServer: service.Name})

	return service.Service.Call(ctx, call)
}
