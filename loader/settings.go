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

// Entry holds the settings of an entry. Each field is a section of the INI file, and
// each field of a section is a key.
type Entry struct {
	Instance  Instance
	Listen    EntryListen
	KeyValue  PlatformService
	Instances PlatformService
	// Calls limits the calls to the key-value service.
	Calls    keeper.Settings
	Dispatch dispatcher.Settings
	Plan     planner.Settings
	Jobs     scheduler.Settings
	Data     Data
	Log      Log
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Instance      Instance
	Listen        SidecarListen
	KeyValue      PlatformService
	Instances     PlatformService
	BackendServer BackendServer
	// Calls limits the calls to the key-value service.
	Calls   keeper.Settings
	Execute executor.Settings
	Batch   puller.Settings
	Log     Log
}

// Instance identifies a process.
type Instance struct {
	// Name of this instance, unique in the fleet.
	Name string `required:"true"`
	// DataCentre is where this instance runs.
	DataCentre string `required:"true"`
}

// EntryListen holds the addresses on which an entry listens.
type EntryListen struct {
	// Callers is the host and port for callers, operators, health and metrics.
	Callers string `required:"true"`
	// Peers is the host and port for calls from the system's own processes.
	Peers string `required:"true"`
	// BalancerLag is how long the load balancer continues to send requests after the
	// health page reports that the entry is leaving.
	BalancerLag time.Duration
}

// SidecarListen holds the addresses on which a sidecar listens.
type SidecarListen struct {
	// Peers is the host and port for calls from the system's own processes.
	Peers string `required:"true"`
	// Operations is the host and port for health and metrics.
	Operations string `required:"true"`
}

// PlatformService holds the adapter and address of one of the platform's services.
type PlatformService struct {
	// Adapter is the name of the adapter.
	Adapter string `required:"true"`
	// Address is the host and port.
	Address string `required:"true"`
}

// BackendServer describes the backend server of a sidecar.
type BackendServer struct {
	// Kind is the kind of backend server: an engine for models, or a plain service.
	Kind string `allowed:"Engine,Service"`
	// Adapter is the name of the adapter.
	Adapter string `required:"true"`
	// Address is the host and port.
	Address string `required:"true"`
	// Service is the service in the configuration document that the backend server
	// belongs to.
	Service string `required:"true"`
	// Places is the limit of concurrent requests until a limit has been learned from
	// the backend server's load.
	Places int
}

// Data controls the storage of batch jobs' bulk data.
type Data struct {
	// Folder is the folder for bulk data; empty on an instance without a disk.
	Folder string
	// Limit is the maximum size of the bulk data in bytes; 0 for the disk's own limit.
	Limit int64
	// Copies is the number of data centres that must store bulk data before a job is
	// accepted; it must be the same on all entries.
	Copies int
}

// Log controls what is written to the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `allowed:"debug,info,warn,error"`
}

const defaultBalancerLag = 5 * time.Second

const defaultPlaces = 16

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Listen:    EntryListen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", BalancerLag: defaultBalancerLag},
		KeyValue:  PlatformService{Adapter: "http"},
		Instances: PlatformService{Adapter: "http"},
		Calls:     keeper.DefaultSettings(),
		Dispatch:  dispatcher.DefaultSettings(),
		Plan:      planner.DefaultSettings(),
		Jobs:      scheduler.DefaultSettings(),
		Data:      Data{Copies: 2},
		Log:       Log{Level: "info"},
	}
}

// DefaultSidecar returns the default settings of a sidecar.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Listen:        SidecarListen{Peers: "127.0.0.1:9081", Operations: "127.0.0.1:9082"},
		KeyValue:      PlatformService{Adapter: "http"},
		Instances:     PlatformService{Adapter: "http"},
		BackendServer: BackendServer{Kind: "Engine", Adapter: "http", Places: defaultPlaces},
		Calls:         keeper.DefaultSettings(),
		Execute:       executor.DefaultSettings(),
		Batch:         puller.DefaultSettings(),
		Log:           Log{Level: "info"},
	}
}
