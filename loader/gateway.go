package loader

import (
	"time"

	"limpetrail/batcher"
	"limpetrail/enforcer"
	"limpetrail/exchanger"
	"limpetrail/keeper"
)

// Gateway holds the settings of a gateway: an entry that calls backend servers
// directly, without sidecars, and stores its jobs in the catalog.
type Gateway struct {
	Instance Instance
	Listen   GatewayListen
	Catalog  PlatformService
	// Calls limits the calls to the catalog.
	Calls  keeper.Settings
	Follow Follow
	// Answers limits the size of backend servers' answers.
	Answers   exchanger.Limits
	Jobs      batcher.Settings
	Placement Placement
	Memory    Memory
	// Caps bounds what workspaces may send beyond their caps; without it no cap is enforced.
	Caps enforcer.Settings
	Stop Stop
	Log  Log
}

// Placement controls how requests are placed on backend servers.
type Placement struct {
	// Learn has the process learn from response times how much load each backend server handles
	// well, and share that with other gateways, instead of relying on the listed places alone.
	Learn bool
}

// GatewayListen holds the addresses on which a gateway listens.
type GatewayListen struct {
	// Callers is the host and port for callers.
	Callers string `required:"true"`
	// Ready is the host and port for the load balancer's readiness checks.
	Ready string `required:"true"`
	// Peers is the host and port for datagrams from other gateways.
	Peers string `required:"true"`
	// Operations is the host and port for status, metrics and calls from other
	// gateways.
	Operations string `required:"true"`
	// Metrics is a host and port that serves only metrics; empty for none.
	Metrics string
	// Seeds are the operations addresses of other gateways, joined by commas.
	Seeds string
}

// Follow controls how a process watches the catalog for changes.
type Follow struct {
	// NoticeSilence is the time within which a dead connection to the catalog is
	// detected. Shorter times cost more calls.
	NoticeSilence time.Duration
	// DropRemoved is the time within which a backend server that has left the catalog's list,
	// or has announced there that it will, must get no further requests.
	DropRemoved time.Duration
	// ApplyWithin is the time after its acknowledgement within which a change of the
	// configuration must take effect, even if watches of the catalog receive nothing. Shorter
	// times cost more calls; 0 relies on the watches.
	ApplyWithin time.Duration
}

// HolderFollow controls how a holder watches the catalog for changes.
type HolderFollow struct {
	// ApplyWithin is the time within which a change that operators made must take effect, even
	// if watches of the catalog receive nothing. Shorter times cost more calls; 0 relies on the
	// watches.
	ApplyWithin time.Duration
}

// Memory limits the memory of the process.
type Memory struct {
	// Megabytes is the memory limit that the platform sets for the process; 0 for none. With a limit,
	// bodies of requests and answers that callers do not take share 0.25 of it.
	Megabytes int
}

// Stop controls how a process shuts down.
type Stop struct {
	// BalancerLag is how long the load balancer continues to send requests after the
	// process reports that it is not ready.
	BalancerLag time.Duration
	// Grace is how long the process may take to exit after the stop signal.
	Grace time.Duration
}

// Holder holds the settings of a holder: a process on an instance with a disk that
// stores the jobs accepted while the catalog is unavailable.
type Holder struct {
	Instance Instance
	Listen   HolderListen
	Catalog  PlatformService
	// Calls limits the calls to the catalog.
	Calls  keeper.Settings
	Follow HolderFollow
	Jobs   batcher.Settings
	Data   HolderData
	Log    Log
}

// HolderListen holds the addresses on which a holder listens.
type HolderListen struct {
	// Operations is the host and port for jobs and metrics.
	Operations string `required:"true"`
	// Metrics is a host and port that serves only metrics; empty for none.
	Metrics string
	// Seeds are the operations addresses of gateways, joined by commas.
	Seeds string
}

// HolderData describes the disk of a holder.
type HolderData struct {
	// Folder is the folder for jobs.
	Folder string `required:"true"`
	// Megabytes is the size of the disk, of which a part may be used; 0 for the disk's own
	// limit.
	Megabytes int
}

const (
	// gatewayBalancerLag allows for two readiness checks a second apart, and a margin.
	gatewayBalancerLag = 2500 * time.Millisecond
	defaultGrace       = 8 * time.Second
	// defaultNoticeSilence is the shortest time that a platform has asked for.
	defaultNoticeSilence = 3 * time.Second
	// defaultDropRemoved is the shortest time that a platform has asked for.
	defaultDropRemoved = 2 * time.Second
	// defaultApplyWithin is the shortest time that a platform has asked for.
	defaultApplyWithin = 2 * time.Second
	// gatewayCallTimeout is many times the catalog's usual latency of 4 ms, and
	// shorter than the time that a caller waits for a job to be accepted.
	gatewayCallTimeout = time.Second
	// gatewayFailureThreshold is the number of consecutive failures that mean an outage.
	// It is below the number of calls that a process has in flight, so that the first
	// timeouts reveal an outage.
	gatewayFailureThreshold = 3
	gatewayFirstProbe       = 200 * time.Millisecond
	// gatewayLastProbe bounds how late the return of the catalog is noticed. Removed servers are
	// kept until two seconds after it, but not beyond three from the last failure: at most a
	// second may lie between probes, jitter and the pause after a failed watch included.
	gatewayLastProbe = 500 * time.Millisecond
)

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Catalog: PlatformService{Adapter: "platform"},
		Calls:   gatewayCallSettings(),
		Follow:  Follow{NoticeSilence: defaultNoticeSilence, DropRemoved: defaultDropRemoved, ApplyWithin: defaultApplyWithin},
		Answers: exchanger.DefaultLimits(),
		Jobs:    batcher.DefaultSettings(),
		Stop:    Stop{BalancerLag: gatewayBalancerLag, Grace: defaultGrace},
		Log:     Log{Level: "info"},
	}
}

// DefaultHolder returns the default settings of a holder.
func DefaultHolder() Holder {
	return Holder{
		Catalog: PlatformService{Adapter: "platform"},
		Calls:   gatewayCallSettings(),
		Follow:  HolderFollow{ApplyWithin: defaultApplyWithin},
		Jobs:    batcher.DefaultSettings(),
		Log:     Log{Level: "info"},
	}
}

func gatewayCallSettings() keeper.Settings {
	calls := keeper.DefaultSettings()
	calls.CallTimeout = gatewayCallTimeout
	calls.FirstProbe, calls.LastProbe = gatewayFirstProbe, gatewayLastProbe
	calls.Failures = gatewayFailureThreshold

	return calls
}
