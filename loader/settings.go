package loader

import (
	"time"

	"limpetrail/dispatcher"
	"limpetrail/executor"
	"limpetrail/keeper"
	"limpetrail/planner"
	"limpetrail/puller"
	"limpetrail/scheduler"
)

// Entry is the settings of an entry: each field is a section of the INI file,
// and each field of that a key.
type Entry struct {
	Instance  Instance
	Listen    EntryListen
	KeyValue  Platform
	Instances Platform
	// Calls bounds the use of the key-value service.
	Calls    keeper.Settings
	Dispatch dispatcher.Settings
	Plan     planner.Settings
	Jobs     scheduler.Settings
	Data     Data
	Log      Log
}

// Sidecar is the settings of a sidecar.
type Sidecar struct {
	Instance      Instance
	Listen        SidecarListen
	KeyValue      Platform
	Instances     Platform
	BackendServer BackendServer
	// Calls bounds the use of the key-value service.
	Calls   keeper.Settings
	Execute executor.Settings
	Batch   puller.Settings
	Log     Log
}

// Instance names a process.
type Instance struct {
	// Name of this instance, unique in the fleet.
	Name string `required:"true"`
	// DataCentre is where this instance runs.
	DataCentre string `required:"true"`
}

// EntryListen is where an entry listens.
type EntryListen struct {
	// Callers is the host and port for callers, operators, health and metrics.
	Callers string `required:"true"`
	// Peers is the host and port for the system's own processes.
	Peers string `required:"true"`
	// BalancerLag is how long the balancer goes on sending after the health
	// page says leaving.
	BalancerLag time.Duration
}

// SidecarListen is where a sidecar listens.
type SidecarListen struct {
	// Peers is the host and port for the system's own processes.
	Peers string `required:"true"`
	// Operations is the host and port for health and metrics.
	Operations string `required:"true"`
}

// Platform is where one of the platform's services is reached.
type Platform struct {
	// Adapter is the name of the adapter.
	Adapter string `required:"true"`
	// Address is the host and port.
	Address string `required:"true"`
}

// BackendServer is what a sidecar stands beside.
type BackendServer struct {
	// Kind is what the backend server is.
	Kind string `allowed:"Engine,Service"`
	// Adapter is the name of the adapter.
	Adapter string `required:"true"`
	// Address is the host and port.
	Address string `required:"true"`
	// Service is the service of the document that the backend server serves.
	Service string `required:"true"`
	// Places is how many requests may run at once before a limit is learned.
	Places int
}

// Data is the bulk data of batch jobs.
type Data struct {
	// Folder is for bulk data; empty at an instance without a disk.
	Folder string
	// Limit is the most bytes of bulk data; 0 for the disk's own limit.
	Limit int64
	// Copies is the number of data centres that must hold bulk data before a
	// job is accepted; the same at all entries.
	Copies int
}

// Log is what is written to the log.
type Log struct {
	// Level is the least level that is written.
	Level string `allowed:"debug,info,warn,error"`
}

const defaultBalancerLag = 5 * time.Second

const defaultPlaces = 16

// DefaultEntry returns the defaults of an entry.
func DefaultEntry() Entry {
	return Entry{
		Listen:    EntryListen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", BalancerLag: defaultBalancerLag},
		KeyValue:  Platform{Adapter: "http"},
		Instances: Platform{Adapter: "http"},
		Calls:     keeper.DefaultSettings(),
		Dispatch:  dispatcher.DefaultSettings(),
		Plan:      planner.DefaultSettings(),
		Jobs:      scheduler.DefaultSettings(),
		Data:      Data{Copies: 2},
		Log:       Log{Level: "info"},
	}
}

// DefaultSidecar returns the defaults of a sidecar.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Listen:        SidecarListen{Peers: "127.0.0.1:9081", Operations: "127.0.0.1:9082"},
		KeyValue:      Platform{Adapter: "http"},
		Instances:     Platform{Adapter: "http"},
		BackendServer: BackendServer{Kind: "Engine", Adapter: "http", Places: defaultPlaces},
		Calls:         keeper.DefaultSettings(),
		Execute:       executor.DefaultSettings(),
		Batch:         puller.DefaultSettings(),
		Log:           Log{Level: "info"},
	}
}
