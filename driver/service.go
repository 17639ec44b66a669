package driver

import (
	"context"

	"limpetrail/kernel"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// RequestID is sent in RequestIDHeader, which doesn't mark the request as
	// repeatable.
	RequestID   string
	Path        string
	ContentType string
	Body        []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service. Each Call reaches the service at most once.
type Service interface {
	// Call returns a NotProvisioned error if nothing of the call was sent; after
	// any other error the service may have run it.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceFactory creates a Service for an address from the settings.
type ServiceFactory func(common kernel.Common, address string) (Service, error)

// ServiceAdapters holds the factories of plain service adapters by name.
var ServiceAdapters = kernel.NewRegistry[ServiceFactory]("plain service adapter")
