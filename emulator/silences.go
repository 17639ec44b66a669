package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Silences draws when a sound server falls silent, and for how long. It is safe for concurrent use.
type Silences struct {
	mutex             sync.Mutex
	random            *rand.Rand
	share             float64
	shortest, longest time.Duration
}

// NewSilences returns silences from shortest up to longest, each event being preceded by one with the
// probability share.
func NewSilences(seed uint64, share float64, shortest, longest time.Duration) *Silences {
	return &Silences{random: rand.New(rand.NewPCG(seed, seed)), share: share, shortest: shortest, longest: longest}
}

// draw returns how long the server is silent before its next event; 0 for not at all. Nil silences draw
// nothing.
func (silences *Silences) draw() time.Duration {
	if silences == nil {
		return 0
	}

	silences.mutex.Lock()
	defer silences.mutex.Unlock()

	if silences.random.Float64() >= silences.share {
		return 0
	}

	return silences.shortest + time.Duration(silences.random.Int64N(int64(silences.longest-silences.shortest)+1))
}
