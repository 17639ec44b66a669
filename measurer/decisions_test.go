package measurer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"limpetrail/admitter"
	"limpetrail/measurer"
)

func measure(t *testing.T, scenario measurer.Scenario) *measurer.Result {
	t.Helper()
	var result *measurer.Result
	synctest.Test(t, func(t *testing.T) {
		scenario.Steps = measurer.EngineSteps()
		result = measurer.Run(t.Context(), scenario)
	})
	return result
}

func TestTrial(t *testing.T) {
	for _, burst := range []float64{1, 10} {
		for _, name := range []string{"alone direct", "alone", "naive", "fixed 32", "r0", "r0.1", "r0.3", "r0.5", "r0.8"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				policy := admitter.DefaultPolicy()
				s := measurer.Scenario{Name: name, Seed: 1, Length: 300 * time.Second, Warmup: 30 * time.Second, Deadline: 10 * time.Second,
					Online: []measurer.Arrivals{{Firm: "a", Rate: 2}}, BatchWorkers: 80}
				if burst > 1 {
					s.Online[0] = measurer.Arrivals{Firm: "a", Rate: 1, BurstFactor: burst, BurstEvery: 20 * time.Second, BurstLength: 2 * time.Second}
				}
				switch name {
				case "alone direct":
					s.BatchWorkers = 0
					s.Admitter = measurer.NewDirect(1)
				case "naive":
					s.Admitter = measurer.NewDirect(80)
				case "fixed 32":
					s.Admitter = measurer.NewDirect(32)
				case "alone":
					s.BatchWorkers = 0
				case "r0":
					policy.Reserve = 0
				case "r0.1":
					policy.Reserve = 0.1
				case "r0.3":
					policy.Reserve = 0.3
				case "r0.5":
					policy.Reserve = 0.5
				case "r0.8":
					policy.Reserve = 0.8
				}
				var ad *admitter.Adaptive
				if s.Admitter == nil {
					ad = admitter.NewAdaptive(admitter.WithPolicy(policy), admitter.WithSeed(1))
					s.Admitter = ad
				}
				begin := time.Now()
				r := measure(t, s)
				lim := 0
				if ad != nil {
					lim = ad.Report().Limit
				}
				t.Logf("b=%v %-12s n=%d p50=%v p99=%v int95=%v refused=%.3f batch=%.0f/s online=%.0f/s preempt=%d limit=%d wall=%v", burst, name, len(r.Answers), r.FirstToken("", .5), r.FirstToken("", .99), r.Interval(.95), r.Refused(), r.BatchRate(), r.OnlineTokens(), r.Preemptions, lim, time.Since(begin))
			})
		}
	}
}
