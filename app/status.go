package app

import (
	"encoding/json"
	"net/http"

	"limpetrail/batcher"
	"limpetrail/placer"
)

// PathStatus is where a gateway shows what it believes.
const PathStatus = "/v1/status"

// GatewayStatus is what a gateway believes and decides by.
type GatewayStatus struct {
	Instance   string
	DataCentre string
	// Version is that of the configuration in force, 0 without one.
	Version int64
	// Registered tells whether others certainly see this process as live.
	Registered bool
	Leaving    bool
	Servers    []placer.ServerStatus
	Jobs       []batcher.JobStatus
}

func (gateway *Gateway) status(writer http.ResponseWriter, _ *http.Request) {
	shown := GatewayStatus{
		Instance:   gateway.Instance,
		DataCentre: gateway.DataCentre,
		Registered: gateway.Registrar.RegistrationValid(),
		Leaving:    gateway.leaving.Load(),
		Servers:    gateway.Placer.Status(),
		Jobs:       gateway.Batcher.Status(),
	}
	if document := gateway.Configuration.Document(); document != nil {
		shown.Version = document.Version
	}

	writer.Header().Set("Content-Type", "application/json")
	// A reader that is gone needs no answer.
	_ = json.NewEncoder(writer).Encode(shown)
}
