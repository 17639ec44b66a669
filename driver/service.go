package driver

import (
	"context"

	"limpetrail/kernel"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// RequestID travels as a header that marks no request as repeatable.
	RequestID   string
	Path        string
	ContentType string
	Body        []byte
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service. It is called at most once for each Call.
type Service interface {
	// Call returns a NotProvisioned error when no byte of the call left; any
	// other error means that the service may have acted on it.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceFactory builds a Service for an address from the settings.
type ServiceFactory func(common kernel.Common, address string) (Service, error)

// ServiceAdapters holds the adapters of plain services by name.
var ServiceAdapters = kernel.NewRegistry[ServiceFactory]("plain service adapter")
