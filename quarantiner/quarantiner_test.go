package quarantiner_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// step is a run of a request with the parts at a server, or several at once.
type step struct {
	parts  []string
	server string
	// begins is true if the server begins to answer; otherwise its answer breaks off, and
	// ended tells whether its process has ended.
	begins, ended bool
	// overlaps starts the run before the end of the run in the step before.
	overlaps bool
	service  string
	// fingerprint is that of the request; empty for an item.
	fingerprint string
	// item is the ID of the item of which the step is an attempt; empty for a request of its own.
	item string
}

// liveness says the same of all servers.
type liveness struct{ ended bool }

// HasEnded implements quarantiner.Liveness.
func (liveness *liveness) HasEnded(context.Context, placer.Server) bool { return liveness.ended }

func sound(server string, parts ...string) step {
	return step{parts: parts, server: server, begins: true}
}

func ends(server string, parts ...string) step {
	return step{parts: parts, server: server, ended: true}
}

func together(second step) step {
	second.overlaps = true

	return second
}

func itemEnds(item, server string, parts ...string) step {
	return step{item: item, parts: parts, server: server, ended: true}
}

// What counts as evidence against a part of a prompt, and against which.
func TestEvidence(t *testing.T) {
	breaks := func(server string) step { return step{parts: []string{"a", "x"}, server: server} }
	elsewhere := ends("s2", "a", "x")
	elsewhere.service = "other"

	for name, scenario := range map[string]struct {
		steps       []step
		quarantined []string
	}{
		"a server ends by itself":                      {[]step{ends("s1", "a", "x")}, nil},
		"two servers end, one after the other":         {[]step{ends("s1", "a", "x"), ends("s2", "a", "x")}, []string{"x"}},
		"requests share only the part":                 {[]step{ends("s1", "a", "x"), ends("s2", "b", "x")}, []string{"x"}},
		"the first part alone":                         {[]step{ends("s1", "a"), ends("s2", "a")}, []string{"a"}},
		"requests at one server at its end":            {[]step{ends("s1", "a", "x"), together(ends("s1", "a", "x"))}, nil},
		"servers end together":                         {[]step{ends("s1", "a", "x"), together(ends("s2", "a", "x"))}, nil},
		"the part is sound in between":                 {[]step{ends("s1", "a", "x"), sound("s3", "a", "x"), ends("s2", "a", "x")}, nil},
		"the part is sound later":                      {[]step{ends("s1", "a", "x"), ends("s2", "a", "x"), together(sound("s3", "a", "x"))}, nil},
		"only the first part is sound in between":      {[]step{ends("s1", "a", "x"), sound("s3", "a"), ends("s2", "a", "x")}, []string{"x"}},
		"answers break off, but the servers go on":     {[]step{breaks("s1"), breaks("s2"), breaks("s3"), breaks("s4")}, nil},
		"servers of two services":                      {[]step{ends("s1", "a", "x"), elsewhere}, nil},
		"a sound request beside a bad one":             {[]step{ends("s1", "a", "x"), together(ends("s1", "a", "y")), ends("s2", "a", "x")}, []string{"x"}},
		"a sound request beside bad ones, twice":       {[]step{ends("s1", "a", "x"), together(ends("s1", "a", "y")), ends("s2", "a", "x"), together(ends("s2", "a", "y"))}, []string{"x", "y"}},
		"the caller's part too, and a crash by itself": {[]step{ends("s1", "a", "c", "x"), ends("s2", "a", "c", "x"), ends("s3", "a", "c")}, []string{"x"}},
		"the first part, whatever follows":             {[]step{ends("s1", "a", "x"), ends("s2", "a", "y"), ends("s3", "a", "z")}, []string{"a"}},
		"the first part, each request repeated":        {[]step{ends("s1", "a", "x"), ends("s2", "a", "x"), ends("s3", "a", "y"), ends("s4", "a", "y"), ends("s5", "a", "z")}, []string{"a", "x", "y"}},
		"two parts":                                    {[]step{sound("s9", "a"), ends("s1", "a", "x"), ends("s2", "a", "y"), ends("s3", "a", "x"), ends("s4", "a", "y")}, []string{"x", "y"}},
		"one item, twice":                              {[]step{itemEnds("i1", "s1", "a"), itemEnds("i1", "s2", "a")}, nil},
		"one item, again and again":                    {[]step{itemEnds("i1", "s1", "a"), itemEnds("i1", "s2", "a"), itemEnds("i1", "s3", "a"), itemEnds("i1", "s4", "a")}, nil},
		"one item, twice, and another":                 {[]step{itemEnds("i1", "s1", "a"), itemEnds("i1", "s2", "a"), itemEnds("i2", "s3", "a")}, []string{"a"}},
		"a part that was answered before":              {[]step{sound("s9", "x"), ends("s1", "x"), ends("s2", "x"), ends("s3", "x")}, nil},
		"a part that was answered before, many times":  {[]step{sound("s9", "x"), ends("s1", "x"), ends("s2", "x"), ends("s3", "x"), ends("s4", "x")}, []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				alive := &liveness{}
				subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)
				play(t, subject, alive, scenario.steps)

				quarantined := []string{}

				for _, status := range subject.Status() {
					if status.Quarantined {
						quarantined = append(quarantined, status.Part)
					}
				}

				require.ElementsMatch(t, scenario.quarantined, quarantined)
			})
		})
	}
}

// play makes the runs of the steps.
func play(t *testing.T, subject *quarantiner.Quarantiner, alive *liveness, steps []step) {
	t.Helper()

	runs := make([]*quarantiner.Run, len(steps))

	start := func(number int) {
		request := quarantiner.Request{ID: cmp.Or(steps[number].item, fmt.Sprint(number)), Service: service + steps[number].service, Parts: steps[number].parts, Fingerprint: steps[number].fingerprint}

		run, _, blocked := subject.Start(request, placer.Server{ID: steps[number].server})
		if !blocked {
			runs[number] = run
		}
	}

	for number, step := range steps {
		if !step.overlaps {
			start(number)
		}

		if number+1 < len(steps) && steps[number+1].overlaps {
			start(number + 1)
		}

		time.Sleep(10 * time.Millisecond)

		alive.ended = step.ended

		switch run := runs[number]; {
		case run == nil:
		case step.begins:
			run.Begin()
		default:
			run.BreakOff(t.Context(), "cut")
		}

		time.Sleep(10 * time.Millisecond)
	}
}

// A quarantined part is tried again, by one request at a time, at growing intervals. It is
// free at once when a server begins to answer one.
func TestTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 1, 12)
		fleet.setDeadly(true)
		require.False(t, fleet.send(0, 3, "a", "x").begun)
		require.Equal(t, 2, fleet.strikes(), "the second attempt shows that it is the part")

		for _, period := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute} {
			before := fleet.strikes()

			for started := time.Now(); time.Since(started) < period-time.Second; time.Sleep(time.Second) {
				answer := fleet.send(0, 1, "a", "x")
				require.True(t, answer.blocked)
				require.InDelta(t, period-time.Since(started), answer.retryAfter, float64(time.Second), "the caller is told when the next trial is")
			}

			time.Sleep(2 * time.Second)
			fleet.calls.Go(func() { fleet.send(0, 1, "a", "x") })
			time.Sleep(firstEventDelay / 2)
			require.True(t, fleet.send(0, 1, "b", "x").blocked, "one trial at a time")
			fleet.calls.Wait()
			require.Equal(t, before+1, fleet.strikes())
		}

		fleet.setDeadly(false)
		time.Sleep(4*time.Minute + time.Second)
		require.True(t, fleet.send(0, 1, "a", "x").begun)
		require.True(t, fleet.send(0, 1, "b", "x").begun)
	})
}

// A trial whose server neither begins to answer nor ends shows nothing: the next request
// tries again.
func TestTrialWithoutOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := &liveness{ended: true}
		subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)
		play(t, subject, alive, []step{ends("s1", "x"), ends("s2", "x")})
		time.Sleep(time.Minute)

		request := quarantiner.Request{ID: "r", Service: service, Parts: []string{"x"}}
		run, _, blocked := subject.Start(request, placer.Server{ID: "s3"})
		require.False(t, blocked)

		_, blocked = subject.Check(request)
		require.True(t, blocked)

		run.Close()

		_, blocked = subject.Check(request)
		require.False(t, blocked)
	})
}

// Waiting requests with a part of which no new ones come are tried one after the other, one
// server at a time.
func TestWaitingRequestsAreTriedWhenNoNewOnesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 1, 1, 12)
		fleet.setDeadly(true)
		fleet.send(0, 2, "a", "x")

		for range 60 {
			fleet.send(0, 1, "a", "x")
			time.Sleep(time.Second)
		}

		require.LessOrEqual(t, fleet.strikes(), 3, "while new ones come")

		waiting := quarantiner.Request{ID: "item", Service: service, Parts: []string{"a", "x"}, Waiting: true}
		before := fleet.strikes()

		for range 600 {
			if _, blocked := fleet.entries[0].Check(waiting); !blocked {
				chosen, identity := fleet.pickServer()
				fleet.run(0, waiting, chosen, identity)
			}

			time.Sleep(100 * time.Millisecond)
		}

		require.GreaterOrEqual(t, fleet.strikes()-before, 5)
		require.LessOrEqual(t, fleet.strikes()-before, 8)
	})
}

// The evidence is bounded, and quarantined parts stay when too many others are suspected.
func TestSuspectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alive := &liveness{}
		subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)
		play(t, subject, alive, []step{ends("s1", "x"), ends("s2", "x")})

		for number := range 2000 {
			play(t, subject, alive, []step{ends(fmt.Sprintf("t%d", number), fmt.Sprintf("part-%d", number))})
		}

		require.LessOrEqual(t, len(subject.Status()), 1024)
		require.LessOrEqual(t, len(subject.Findings()), 16)

		_, blocked := subject.Check(quarantiner.Request{ID: "r", Service: service, Parts: []string{"x"}})
		require.False(t, blocked, "its period has passed")

		time.Sleep(2 * time.Hour)
		play(t, subject, alive, []step{ends("s1", "y")})
		require.Len(t, subject.Status(), 1, "old evidence is dropped")
	})
}

// A burst of ends dropped the evidence that had quarantined a part: of the newest strikes, all that were
// kept, the runs overlapped, so that they counted as one, and the part was sent to servers again.
func TestBurstOfEndsReleasesAPart(t *testing.T) {
	const burst = 40

	synctest.Test(t, func(t *testing.T) {
		alive := &liveness{ended: true}
		subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)
		newcomer := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-2"), alive)
		play(t, subject, alive, []step{ends("s1", "a", "x")})

		runs := []*quarantiner.Run{}

		for number := range burst {
			run, _, blocked := subject.Start(quarantiner.Request{ID: fmt.Sprint("r-", number), Service: service, Parts: []string{"a", "x"}}, placer.Server{ID: fmt.Sprint("b", number)})
			require.False(t, blocked)

			runs = append(runs, run)
		}

		for _, run := range runs {
			time.Sleep(time.Millisecond)
			run.BreakOff(t.Context(), "cut")

			_, blocked := subject.Check(quarantiner.Request{ID: "r", Service: service, Parts: []string{"a", "x"}})
			require.True(t, blocked)
		}

		newcomer.ApplyFindings("entry-1", subject.Findings())

		_, blocked := newcomer.Check(quarantiner.Request{ID: "r", Service: service, Parts: []string{"a", "x"}})
		require.True(t, blocked, "others learn enough of it")
	})
}

// Strikes that an entry dropped at once were news each time that others told of them, so that entries told
// each other of a burst without end, and judged all their evidence anew at every report.
func TestDroppedStrikesAreToldOnWithoutEnd(t *testing.T) {
	const (
		burst = 40
		quiet = 4 * time.Second
	)

	synctest.Test(t, func(t *testing.T) {
		alive := &liveness{ended: true}
		subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), alive)
		play(t, subject, alive, []step{ends("s1", "a")})

		started, runs := time.Now(), []*quarantiner.Run{}

		for number := range burst {
			run, _, _ := subject.Start(quarantiner.Request{ID: fmt.Sprint("r-", number), Service: service, Parts: []string{"a"}}, placer.Server{ID: fmt.Sprint("b", number)})
			runs = append(runs, run)
		}

		for _, run := range runs {
			time.Sleep(time.Millisecond)
			run.BreakOff(t.Context(), "cut")
		}

		time.Sleep(quiet)

		// It was sent before all others ended, and ended as one of the first.
		older := quarantiner.FindingStrike{
			Incarnation: quarantiner.Incarnation{Server: "older"}, RequestID: "older", SentAge: time.Since(started), EndedAge: time.Since(started) - 2*time.Millisecond,
		}
		subject.ApplyFindings("entry-2", []quarantiner.Finding{{Subject: quarantiner.Subject{Service: service, Part: "a"}, Strikes: []quarantiner.FindingStrike{older}}})

		// The first call takes the quarantined parts that are told of every second.
		subject.Findings()
		require.Empty(t, subject.Findings())
	})
}
