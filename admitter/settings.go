package admitter

import "time"

// Settings bound what an Adaptive learns and stores.
type Settings struct {
	// Places is the initial limit, until one is learned.
	Places int
	// MaxPlaces is the highest limit that may be learned.
	MaxPlaces int
	// MaxQueued bounds the memory of each queue. It is far above the length
	// that the maximum wait allows, so it has no other effect.
	MaxQueued int
	// Window is the interval at which misses of the policy's targets are judged
	// and the limits adjusted.
	Window time.Duration
	// Probe is the time after the engine was found full before a higher limit
	// is tried.
	Probe time.Duration
	// MaxRetryAfter bounds the retry time of a refusal before jitter, which
	// adds up to as much again.
	MaxRetryAfter time.Duration
	// Seed makes the jitter of refusals repeatable.
	Seed uint64
}

// DefaultSettings returns the default settings of a sidecar.
func DefaultSettings() Settings {
	return Settings{
		Places:        16,
		MaxPlaces:     1024,
		MaxQueued:     4096,
		Window:        100 * time.Millisecond,
		Probe:         10 * time.Second,
		MaxRetryAfter: 30 * time.Second,
		Seed:          uint64(time.Now().UnixNano()),
	}
}

// Option configures an Adaptive at construction.
type Option func(*Adaptive)

// WithPolicy sets the initial policy; see SetPolicy.
func WithPolicy(policy Policy) Option {
	return func(adaptive *Adaptive) { adaptive.policy = policy }
}

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option {
	return func(adaptive *Adaptive) { adaptive.Settings = settings }
}

// WithPlaces sets the initial limit, until one is learned.
func WithPlaces(places int) Option {
	return func(adaptive *Adaptive) { adaptive.Settings.Places = places }
}

// WithSeed makes the jitter of refusals repeatable.
func WithSeed(seed uint64) Option {
	return func(adaptive *Adaptive) { adaptive.Settings.Seed = seed }
}
