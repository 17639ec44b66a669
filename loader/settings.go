package loader

import (
	"time"

	"limpetrail/dispatcher"
	"limpetrail/executor"
)

// Entry is the settings of an entry. Sections are the fields, keys the fields
// of those.
type Entry struct {
	Instance  Instance
	Listen    EntryListen
	KeyValue  Platform
	Instances Platform
	Dispatch  dispatcher.Settings
	Log       Log
}

// Sidecar is the settings of a sidecar.
type Sidecar struct {
	Instance      Instance
	Listen        SidecarListen
	KeyValue      Platform
	BackendServer BackendServer
	Execute       executor.Settings
	Log           Log
}

// Instance names a process.
type Instance struct {
	Name       string `doc:"Name of this instance, unique in the fleet."`
	DataCentre string `doc:"Data centre of this instance."`
}

// EntryListen is where an entry listens.
type EntryListen struct {
	Callers string `doc:"Host and port for callers, operators, health and metrics."`
	Peers   string `doc:"Host and port for the system's own processes."`
	// BalancerLag is how long the balancer goes on sending after the health
	// page says leaving.
	BalancerLag time.Duration `doc:"Time the balancer goes on sending after health says leaving."`
}

// SidecarListen is where a sidecar listens.
type SidecarListen struct {
	Peers      string `doc:"Host and port for the system's own processes."`
	Operations string `doc:"Host and port for health and metrics."`
}

// Platform is where one of the platform's services is reached.
type Platform struct {
	Adapter string `doc:"Name of the adapter."`
	Address string `doc:"Host and port."`
}

// BackendServer is what a sidecar stands beside.
type BackendServer struct {
	Kind    string `doc:"Engine or Service."`
	Adapter string `doc:"Name of the adapter."`
	Address string `doc:"Host and port."`
	Service string `doc:"Service of the document that the backend server serves."`
	Places  int    `doc:"Requests that may run at once before the limit is learned."`
}

// Log is what is written to the log.
type Log struct {
	Level string `doc:"Least level written: debug, info, warn or error."`
}

// DefaultEntry returns the defaults of an entry.
func DefaultEntry() Entry {
	return Entry{
		Listen:    EntryListen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", BalancerLag: 5 * time.Second},
		KeyValue:  Platform{Adapter: "http"},
		Instances: Platform{Adapter: "http"},
		Dispatch:  dispatcher.DefaultSettings(),
		Log:       Log{Level: "info"},
	}
}

// DefaultSidecar returns the defaults of a sidecar.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Listen:        SidecarListen{Peers: "127.0.0.1:9081", Operations: "127.0.0.1:9082"},
		KeyValue:      Platform{Adapter: "http"},
		BackendServer: BackendServer{Kind: "Engine", Adapter: "http", Places: 16},
		Execute:       executor.DefaultSettings(),
		Log:           Log{Level: "info"},
	}
}
