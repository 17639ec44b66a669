package editor

import "time"

// Document describes what the fleet should run. It is the only configuration that
// operators write; the console writes it too. Its JSON keys are the field names.
type Document struct {
	// Operators lists the shared operations staff, who may change all parts.
	Operators  []string
	Firms      []Firm
	Workspaces []Workspace
	Models     []Model
	Services   []Service
	Policies   []Policy
}

// Firm is one of the firms that share the fleet.
type Firm struct {
	// Name is unique among firms.
	Name string
	// Staff lists the operators who may change this firm's parts.
	Staff []string
	// Share is the firm's weight when firms compete for capacity; at least 1.
	Share int
}

// Workspace is named by callers in their requests; it belongs to one firm.
type Workspace struct {
	// Name is unique among workspaces.
	Name string
	Firm string
}

// Model is a model with the versions and adapters that may be served.
type Model struct {
	// Name is unique among models.
	Name     string
	Versions []Version
	Adapters []Adapter
}

// Version is one set of a model's weights.
type Version struct {
	Name string
	// Weights names the weights in the platform's weight store.
	Weights string
}

// Adapter is a set of weights that adapts a model, for one firm or for all.
type Adapter struct {
	Name string
	// Firm owns the adapter; empty for all firms.
	Firm    string
	Weights string
}

// ServiceKind says whether a service runs a model.
type ServiceKind string

// Kinds of services.
const (
	ServiceKindModel ServiceKind = "Model"
	ServiceKindPlain ServiceKind = "Plain"
)

// Service is one of the services that callers send requests to.
type Service struct {
	// Name is unique among services. Callers of a model service give it as the
	// model of the request.
	Name string
	// Firm restricts the service to one firm's workspaces; empty for all.
	Firm string
	Kind ServiceKind
	// Model, Version and Adapter name what a model service runs.
	Model   string
	Version string
	Adapter string
	// Replicas is how many backend servers are wanted.
	Replicas int
	// Idempotent allows a request to be run again after a failure.
	Idempotent bool
	// Policy names the policy; empty for the default one.
	Policy string
}

// Policy weighs online latency against batch throughput.
type Policy struct {
	// Name is unique among policies.
	Name string
	// FirstToken is the target time to the first token for 95 of 100 requests.
	FirstToken Duration
	// TokenInterval is the target time between tokens for 95 of 100.
	TokenInterval Duration
	// Reserve is the share of each engine, 0 to 1, that is kept free of batch
	// work for the next burst of online requests.
	Reserve float64
	// MaxWait bounds the time that an online request waits at a sidecar.
	MaxWait Duration
}

// Duration is a time.Duration that is encoded as text, for example "1.4s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)

	return err
}
