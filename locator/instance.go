package locator

import (
	"context"

	"limpetrail/kernel"
)

// Instance is an entry or a backend server in the platform's list.
type Instance struct {
	Name string
	// Address is the host and port of the backend server's sidecar, or of the entry
	// itself.
	Address    string
	DataCentre string
	// Service is the model or plain service that the backend server runs; empty for
	// an entry.
	Service string
	// Leaving is set with a delay after the instance began to leave.
	Leaving bool
	// Entry is true for an entry.
	Entry bool
}

// List reads the platform's list of instances.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Factory builds a List for an address from the settings.
type Factory func(common kernel.Common, address string) (List, error)

// Adapters holds the adapters of the instance list by name.
var Adapters = kernel.NewRegistry[Factory]("instance list adapter")
