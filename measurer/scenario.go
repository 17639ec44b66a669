package measurer

import (
	"time"

	"limpetrail/admitter"
	"limpetrail/emulator"
)

// Arrivals describes the online load of one firm. Requests arrive as a Poisson
// process.
type Arrivals struct {
	Firm string
	// Rate is the number of requests a second.
	Rate float64
	// BurstFactor multiplies the rate for BurstLength at the end of each
	// BurstEvery; zero for steady load.
	BurstFactor float64
	BurstEvery  time.Duration
	BurstLength time.Duration
}

// Scenario describes one run: its load, engine and admitter.
type Scenario struct {
	Name string
	Seed uint64
	// Length is the time in which requests arrive. Requests that arrive within
	// Warmup are not measured.
	Length time.Duration
	Warmup time.Duration
	Online []Arrivals
	// BatchWorkers is the number of workers that each run one batch item at a
	// time; zero for no batch load.
	BatchWorkers int
	// Deadline is how long a caller waits for its answer.
	Deadline time.Duration
	// Retry makes refused callers retry after the time that the refusal gives.
	Retry bool
	// OutageAt and OutageFor are the start and duration of an outage, in which the
	// engine is frozen; zero for no outage.
	OutageAt  time.Duration
	OutageFor time.Duration
	Steps     emulator.StepModel
	// Admitter returns a new admitter. It is called within the bubble.
	Admitter func() admitter.Admitter
}

// EngineSteps returns the engine's cost model for the measurements. It corresponds
// to a model of 14 billion parameters on one accelerator: each step reads 28 GB of
// weights in 20 ms and 0.1 GB of KV cache for each stream, a prompt token takes 110
// microseconds of arithmetic, and the memory holds 64 streams.
func EngineSteps() emulator.StepModel {
	return emulator.StepModel{
		Base:           20 * time.Millisecond,
		PerStream:      80 * time.Microsecond,
		PerPromptToken: 110 * time.Microsecond,
		MaxStreams:     64,
		CacheBlocks:    8192,
		ReportLag:      time.Second,
	}
}
