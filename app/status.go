package app

import (
	"encoding/json"
	"net/http"

	"limpetrail/batcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// PathStatus is the path of a gateway's status.
const PathStatus = "/v1/status"

// GatewayStatus is the state on which a gateway bases its decisions.
type GatewayStatus struct {
	Instance   string
	DataCentre string
	// Version is the version of the configuration in force; 0 if there is none.
	Version int64
	// Registered tells whether this process's registration is certainly still valid, so that
	// others see it as live.
	Registered bool
	Leaving    bool
	Servers    []placer.ServerStatus
	Jobs       []batcher.JobStatus
	// Suspects are the prompt parts under which backend servers ended.
	Suspects []quarantiner.Status
}

func (gateway *Gateway) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	current := GatewayStatus{
		Instance:   gateway.Instance,
		DataCentre: gateway.DataCentre,
		Registered: gateway.Registrar.RegistrationValid(),
		Leaving:    gateway.Stopper.HasBegun(),
		Servers:    gateway.Placer.Status(),
		Jobs:       gateway.Batcher.Status(),
		Suspects:   gateway.Quarantiner.Status(),
	}
	if document := gateway.Configuration.Document(); document != nil {
		current.Version = document.Version
	}

	writer.Header().Set("Content-Type", "application/json")
	// A write error means that the client is gone.
	_ = json.NewEncoder(writer).Encode(current)
}
