package loader

import (
	"time"

	"limpetrail/batcher"
	"limpetrail/exchanger"
	"limpetrail/keeper"
)

// Gateway is the settings of a gateway: an entry that reaches backend servers
// itself and keeps its jobs in the catalog.
type Gateway struct {
	Instance Instance
	Listen   GatewayListen
	Catalog  Platform
	// Calls bounds the use of the catalog.
	Calls  keeper.Settings
	Follow Follow
	// Answers bounds the answers of backend servers.
	Answers exchanger.Limits
	Jobs    batcher.Settings
	Memory  Memory
	Stop    Stop
	Log     Log
}

// GatewayListen is where a gateway listens.
type GatewayListen struct {
	// Callers is the host and port for callers.
	Callers string `required:"true"`
	// Ready is the host and port at which the balancer asks for readiness.
	Ready string `required:"true"`
	// Peers is the host and port of other gateways' datagrams.
	Peers string `required:"true"`
	// Operations is the host and port for status, metrics and calls of other
	// gateways.
	Operations string `required:"true"`
	// Metrics is a host and port for metrics alone; empty for none.
	Metrics string
	// Seeds are the operations addresses of other gateways, joined by commas.
	Seeds string
}

// Follow is how a process follows the catalog.
type Follow struct {
	// NoticeSilence is the time within which a connection to the catalog that has
	// fallen silent is noticed. Shorter times cost more calls.
	NoticeSilence time.Duration
}

// Memory bounds the process.
type Memory struct {
	// Megabytes is the platform's limit of the process; 0 for none.
	Megabytes int
}

// Stop is how a process ends.
type Stop struct {
	// BalancerLag is how long the balancer goes on sending after the process
	// says that it is not ready.
	BalancerLag time.Duration
	// Grace is how long the process has from the signal to its end.
	Grace time.Duration
}

// Holder is the settings of the process on an instance with a disk. It keeps
// jobs that were accepted while the catalog was away.
type Holder struct {
	Instance Instance
	Listen   HolderListen
	Catalog  Platform
	// Calls bounds the use of the catalog.
	Calls keeper.Settings
	Jobs  batcher.Settings
	Data  HolderData
	Log   Log
}

// HolderListen is where a holder listens.
type HolderListen struct {
	// Operations is the host and port for jobs and metrics.
	Operations string `required:"true"`
	// Metrics is a host and port for metrics alone; empty for none.
	Metrics string
	// Seeds are the operations addresses of gateways, joined by commas.
	Seeds string
}

// HolderData is the disk of a holder.
type HolderData struct {
	// Folder is for jobs.
	Folder string `required:"true"`
	// Megabytes is the size of the disk; 0 for the disk's own limit.
	Megabytes int
}

const (
	// gatewayBalancerLag is two readiness checks a second apart, and a little.
	gatewayBalancerLag = 2500 * time.Millisecond
	defaultGrace       = 8 * time.Second
	// defaultNoticeSilence is the shortest time for it that a platform has asked.
	defaultNoticeSilence = 3 * time.Second
	// gatewayCallTimeout is many times the catalog's usual 4 ms, and shorter
	// than a caller waits for a job to be accepted.
	gatewayCallTimeout = time.Second
	// gatewayFailures in a row are fewer than the calls that a process has under
	// way at once, so that an outage is noticed with the first time-outs.
	gatewayFailures  = 3
	gatewayProbe     = 200 * time.Millisecond
	gatewayLastProbe = time.Second
)

// DefaultGateway returns the defaults of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Catalog: Platform{Adapter: "platform"},
		Calls:   gatewayCalls(),
		Follow:  Follow{NoticeSilence: defaultNoticeSilence},
		Answers: exchanger.DefaultLimits(),
		Jobs:    batcher.DefaultSettings(),
		Stop:    Stop{BalancerLag: gatewayBalancerLag, Grace: defaultGrace},
		Log:     Log{Level: "info"},
	}
}

// DefaultHolder returns the defaults of a holder.
func DefaultHolder() Holder {
	return Holder{
		Catalog: Platform{Adapter: "platform"},
		Calls:   gatewayCalls(),
		Jobs:    batcher.DefaultSettings(),
		Log:     Log{Level: "info"},
	}
}

func gatewayCalls() keeper.Settings {
	calls := keeper.DefaultSettings()
	calls.CallTimeout = gatewayCallTimeout
	calls.FirstProbe, calls.LastProbe = gatewayProbe, gatewayLastProbe
	calls.Failures = gatewayFailures

	return calls
}
