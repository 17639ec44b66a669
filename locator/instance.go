package locator

import (
	"context"

	"limpetrail/kernel"
)

// Instance is one line of the platform's list.
type Instance struct {
	Name string
	// Address is the host and port of the process beside the backend server,
	// or of the entry itself.
	Address    string
	DataCentre string
	// Service is the model or plain service behind it; empty for an entry.
	Service string
	// Leaving is set some time after the instance began to leave.
	Leaving bool
	// Entry marks an entry instance.
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
