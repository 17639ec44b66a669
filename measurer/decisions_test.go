package measurer_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/admitter"
	"limpetrail/measurer"
)

// The stated targets of the decisions, and the loads they are measured at.
const (
	maxOnlineRatio   = 1.05
	minBatchShare    = 0.9
	minGoodputShare  = 0.95
	maxFairnessRatio = 1.1
	recoveryShare    = 0.1
	outage           = 30 * time.Second
	outageAt         = 40 * time.Second
	deadline         = 10 * time.Second
	// capacity is the offered load, in requests a second, that the engine just
	// bears; the sweep has points below and above it.
	capacity = 13.0
)

var reserves = []float64{0, 0.1, 0.3, 0.6}

// fixed are the batch streams that run at all times, whatever online work does.
var fixed = []int{32, 40, 48}

// modest are the shares of the capacity at which the heavy firm keeps within
// its half and nobody waits for admission.
var modest = []float64{0.25, 0.5}

// shape is an online load beside which batch runs.
type shape struct {
	name   string
	online measurer.Arrivals
}

var shapes = []shape{
	{"steady", measurer.Arrivals{Firm: "a", Rate: 2}},
	{"bursts", measurer.Arrivals{Firm: "a", Rate: 1, BurstFactor: 10, BurstEvery: 20 * time.Second, BurstLength: 2 * time.Second}},
}

func adaptive(change func(*admitter.Policy)) func() admitter.Admitter {
	policy := admitter.DefaultPolicy()
	change(&policy)

	return func() admitter.Admitter {
		return admitter.NewAdaptive(admitter.WithPolicy(policy), admitter.WithSeed(1), admitter.WithPlaces(64))
	}
}

func unchanged(*admitter.Policy) {}

func reserve(share float64) func(*admitter.Policy) {
	return func(policy *admitter.Policy) { policy.Reserve = share }
}

func direct(batch int) func() admitter.Admitter {
	return func() admitter.Admitter { return measurer.NewDirect(batch) }
}

// noAgeLimit lets requests wait until their callers leave.
func noAgeLimit(policy *admitter.Policy) { policy.MaxWait = deadline }

func scenario(name string, seconds, workers int, online measurer.Arrivals, admission func() admitter.Admitter) measurer.Scenario {
	return measurer.Scenario{
		Name: name, Seed: 1, Length: time.Duration(seconds) * time.Second, Warmup: 30 * time.Second, Deadline: deadline,
		Steps: measurer.EngineSteps(), Online: []measurer.Arrivals{online}, BatchWorkers: workers, Admitter: admission,
	}
}

func scenarios() []measurer.Scenario {
	list := []measurer.Scenario{}

	for _, shape := range shapes {
		add := func(name string, workers int, admission func() admitter.Admitter) {
			list = append(list, scenario(shape.name+" "+name, 120, workers, shape.online, admission))
		}
		add("alone", 0, direct(1))
		add("alone, admitted", 0, adaptive(unchanged))
		add("naive", 80, direct(80))

		// Online work never waits for these; what it loses is the longer steps.
		for _, streams := range fixed {
			add(fmt.Sprintf("fixed %d", streams), 80, direct(streams))
		}

		for _, share := range reserves {
			add(fmt.Sprintf("reserve %.1f", share), 80, adaptive(reserve(share)))
		}
	}

	for _, factor := range []float64{0.5, 0.8, 1, 2, 10} {
		online := measurer.Arrivals{Firm: "a", Rate: factor * capacity}
		list = append(list,
			scenario(fmt.Sprintf("overload %.1f", factor), 80, 0, online, adaptive(unchanged)),
			scenario(fmt.Sprintf("overload %.1f, direct", factor), 80, 0, online, direct(1)),
			scenario(fmt.Sprintf("overload %.1f, no age limit", factor), 80, 0, online, adaptive(noAgeLimit)))
	}

	for index, change := range []func(*admitter.Policy){unchanged, noAgeLimit} {
		name := []string{"outage", "outage, no age limit"}[index]
		broken := scenario(name, 160, 0, measurer.Arrivals{Firm: "a", Rate: 0.8 * capacity}, adaptive(change))
		broken.Retry, broken.OutageAt, broken.OutageFor = true, outageAt, outage
		list = append(list, broken)
	}

	light := measurer.Arrivals{Firm: "light", Rate: 0.25 * capacity}
	heavy := measurer.Arrivals{Firm: "heavy", Rate: 10 * capacity / 2}
	both := scenario("fairness both", 120, 0, light, adaptive(unchanged))
	both.Online = append(both.Online, heavy)
	unfair := scenario("fairness direct", 120, 0, light, direct(1))
	unfair.Online = append(unfair.Online, heavy)

	for _, share := range modest {
		beside := scenario(modestName(share), 120, 0, light, direct(1))
		beside.Online = append(beside.Online, measurer.Arrivals{Firm: "heavy", Rate: share * capacity})
		list = append(list, beside)
	}

	return append(list, scenario("fairness alone", 120, 0, light, adaptive(unchanged)), both, unfair)
}

func modestName(share float64) string {
	return fmt.Sprintf("fairness, heavy at %.2f of the capacity, direct", share)
}

// spare is the batch tokens a second that the spare capacity allows: every
// step carries as many streams as the engine has memory for, no batch prompt is
// ever read, and the online load is as it is alone.
func spare(alone *measurer.Result) float64 {
	steps := measurer.EngineSteps()
	prefill := alone.PromptTokens() * steps.PerPromptToken.Seconds()

	return float64(steps.MaxStreams)*(1-prefill)/steps.Step(steps.MaxStreams, 0).Seconds() - alone.OnlineTokens()
}

var measured struct {
	sync.Mutex
	results map[string]*measurer.Result
}

// results runs all scenarios once in a process.
func results(t *testing.T) map[string]*measurer.Result {
	t.Helper()
	measured.Lock()
	defer measured.Unlock()

	if measured.results != nil {
		return measured.results
	}

	found, mutex := map[string]*measurer.Result{}, sync.Mutex{}

	t.Run("runs", func(t *testing.T) {
		for _, scenario := range scenarios() {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()

				var result *measurer.Result

				synctest.Test(t, func(t *testing.T) { result = measurer.Run(t.Context(), scenario) })
				mutex.Lock()
				defer mutex.Unlock()

				found[scenario.Name] = result
			})
		}
	})

	measured.results = found

	return found
}

// figure is one row of the table.
type figure struct {
	decision, setting string
	value, target     float64
	// atLeast tells that the target is a lower bound.
	atLeast bool
	// red names the test that asserts the row where it is not met.
	red string
}

func (figure figure) met() bool {
	if figure.atLeast {
		return figure.value >= figure.target
	}

	return figure.value <= figure.target
}

const (
	redBeside   = "TestOnlineBesideBatch"
	redFairness = "TestFairnessBetweenFirms"
)

func figures(results map[string]*measurer.Result) []figure {
	list := []figure{}

	for _, shape := range shapes {
		alone := results[shape.name+" alone"]
		names := []string{"alone, admitted", "naive"}

		for _, streams := range fixed {
			names = append(names, fmt.Sprintf("fixed %d", streams))
		}

		for _, share := range reserves {
			names = append(names, fmt.Sprintf("reserve %.1f", share))
		}

		for _, name := range names {
			run := results[shape.name+" "+name]
			ratio := float64(run.FirstToken("", 0.99)) / float64(alone.FirstToken("", 0.99))
			list = append(list, figure{shape.name + ": online p99 to first token / alone", name, ratio, maxOnlineRatio, false, redBeside})

			if run.BatchTokens > 0 {
				list = append(list, figure{shape.name + ": batch / spare capacity", name, run.BatchRate() / spare(alone), minBatchShare, true, redBeside})
			}
		}

		for _, share := range reserves {
			name := fmt.Sprintf("reserve %.1f", share)
			worst := 0.0

			for _, way := range results[shape.name+" "+name].GiveWays {
				worst = max(worst, float64(way.Taken)/float64(way.Step))
			}

			list = append(list, figure{shape.name + ": batch gives way, worst in steps", name, worst, 1, false, ""})
		}
	}

	return append(list, overloadFigures(results)...)
}

func overloadFigures(results map[string]*measurer.Result) []figure {
	list := []figure{}
	policy := admitter.DefaultPolicy()
	peak := 0.0

	for name, run := range results {
		if strings.HasPrefix(name, "overload") {
			peak = max(peak, run.Goodput(policy))
		}
	}

	for _, factor := range []string{"2.0", "10.0"} {
		name := "overload " + factor
		list = append(list,
			figure{"goodput / peak", name + ", direct", results[name+", direct"].Goodput(policy) / peak, minGoodputShare, true, "baseline"},
			figure{"goodput / peak", name, results[name].Goodput(policy) / peak, minGoodputShare, true, ""},
			figure{"goodput / peak", name + ", no age limit", results[name+", no age limit"].Goodput(policy) / peak, minGoodputShare, true, "baseline"},
			figure{"longest wait for a refusal, s", name, results[name].RefusalWait(1).Seconds(), 0, false, ""},
			figure{"share of refusals that waited", name, results[name].WaitedRefusals(), 0, false, ""})
	}

	for _, name := range []string{"outage", "outage, no age limit"} {
		red := ""
		if name != "outage" {
			red = "baseline"
		}

		took := results[name].Recovered(outageAt, outageAt+outage, policy, minGoodputShare)
		list = append(list, figure{"back to normal after 30 s, s", name, took.Seconds(), recoveryShare * outage.Seconds(), false, red})
	}

	alone := results["fairness alone"].FirstToken("light", 0.99)
	names := []string{"fairness both", "fairness direct"}
	for _, share := range modest {
		names = append(names, modestName(share))
	}

	for _, name := range names {
		ratio := float64(results[name].FirstToken("light", 0.99)) / float64(alone)
		list = append(list, figure{"light firm's p99 / its own alone", name, ratio, maxFairnessRatio, false, redFairness})
	}

	return list
}

// TestDecisions measures every decision, prints the table and the raw figures,
// and asserts the targets that are met. The others have tests of their own.
func TestDecisions(t *testing.T) {
	results := results(t)
	missed := []figure{}
	text := &strings.Builder{}
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nDecision\tSetting\tFigure\tTarget\tMet")

	for _, figure := range figures(results) {
		sign, verdict := "<=", "not met"
		if figure.atLeast {
			sign = ">="
		}

		if figure.met() {
			verdict = "met"
		}

		fmt.Fprintf(table, "%s\t%s\t%.3f\t%s %.2f\t%s\n", figure.decision, figure.setting, figure.value, sign, figure.target, verdict)

		if figure.red == "" && !figure.met() {
			missed = append(missed, figure)
		}
	}

	fmt.Fprintln(table, "\nRun\tRequests\tFirst token p50\tp99\tInterval p95\tNot answered\tGoodput/s\tOnline tokens/s\tBatch tokens/s\tPreemptions\tRefusals that waited")

	for _, scenario := range scenarios() {
		run := results[scenario.Name]
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%v\t%.3f\t%.2f\t%.0f\t%.0f\t%d\t%.3f\n", run.Name, len(run.Answers),
			run.FirstToken("", 0.5), run.FirstToken("", 0.99), run.Interval(0.95), run.Refused(),
			run.Goodput(admitter.DefaultPolicy()), run.OnlineTokens(), run.BatchRate(), run.Preemptions, run.WaitedRefusals())
	}

	require.NoError(t, table.Flush())
	t.Log(text.String())
	require.Empty(t, missed)
}

// TestOnlineBesideBatch wants one setting of the reserve that meets both
// targets under both loads.
func TestOnlineBesideBatch(t *testing.T) {
	missed := map[string][]string{}

	for _, figure := range figures(results(t)) {
		if figure.red == redBeside && !figure.met() {
			missed[figure.setting] = append(missed[figure.setting], fmt.Sprintf("%s: %.3f", figure.decision, figure.value))
		}
	}

	for _, share := range reserves {
		if len(missed[fmt.Sprintf("reserve %.1f", share)]) == 0 {
			return
		}
	}

	require.Empty(t, missed, "no reserve meets both targets")
}

// TestFairnessBetweenFirms wants a firm's latency kept while another sends
// tenfold its share.
func TestFairnessBetweenFirms(t *testing.T) {
	for _, figure := range figures(results(t)) {
		if figure.red == redFairness && figure.setting == "fairness both" {
			require.True(t, figure.met(), "%+v", figure)
		}
	}
}
