package measurer

import (
	"time"

	"limpetrail/admitter"
	"limpetrail/emulator"
)

// Arrivals is the online load of one firm: a Poisson process.
type Arrivals struct {
	Firm string
	// Rate is the requests a second.
	Rate float64
	// BurstFactor multiplies the rate for BurstLength at the end of each
	// BurstEvery; zero for steady load.
	BurstFactor float64
	BurstEvery  time.Duration
	BurstLength time.Duration
}

// Scenario is one run.
type Scenario struct {
	Name string
	Seed uint64
	// Length is the time over which requests arrive. Those that arrive within
	// Warmup do not count.
	Length time.Duration
	Warmup time.Duration
	Online []Arrivals
	// BatchWorkers is how many batch items want to run at once; zero for none.
	BatchWorkers int
	// Deadline is how long a caller waits for its answer.
	Deadline time.Duration
	// Retry makes refused callers come back when they were told to.
	Retry bool
	// OutageAt and OutageFor freeze the engine; zero for no outage.
	OutageAt  time.Duration
	OutageFor time.Duration
	Steps     emulator.StepModel
	// Admitter makes the admitter; it is called within the bubble.
	Admitter func() admitter.Admitter
}

// EngineSteps is the engine of the measurements, of the order of a model of 14
// billion parameters on one accelerator: 28 GB of weights read in 20 ms each
// step, 0.1 GB of KV cache read for each stream, 110 microseconds of
// arithmetic for each prompt token, memory for 64 streams.
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
