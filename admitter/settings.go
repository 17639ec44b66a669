package admitter

import "time"

// Settings bound what an Adaptive learns and keeps.
type Settings struct {
	// Places is the limit before one is learned.
	Places int
	// MaxPlaces is the highest limit that is learned.
	MaxPlaces int
	// MaxQueued bounds each queue's memory. It is far above what the age limit
	// lets in and decides nothing else.
	MaxQueued int
	// Window is the time over which harm is judged.
	Window time.Duration
	// Probe is the time after the engine was full before more is tried.
	Probe time.Duration
	// MaxRetryAfter bounds the time that a refusal names.
	MaxRetryAfter time.Duration
	// Seed makes the jitter of refusals repeatable.
	Seed uint64
}

// DefaultSettings are the defaults of a sidecar.
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

// Option changes an Adaptive at construction.
type Option func(*Adaptive)

// WithPolicy sets the policy at the start; see SetPolicy.
func WithPolicy(policy Policy) Option {
	return func(adaptive *Adaptive) { adaptive.policy = policy }
}

// WithSettings sets the bounds.
func WithSettings(settings Settings) Option {
	return func(adaptive *Adaptive) { adaptive.Settings = settings }
}

// WithPlaces sets the limit before one is learned.
func WithPlaces(places int) Option {
	return func(adaptive *Adaptive) { adaptive.Settings.Places = places }
}

// WithSeed makes the jitter of refusals repeatable.
func WithSeed(seed uint64) Option {
	return func(adaptive *Adaptive) { adaptive.Settings.Seed = seed }
}
