package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
)

// Each violating history breaks its rule and no other; the history that keeps
// the rule differs in one respect.
func TestEachRuleFindsItsViolationAndNoOther(t *testing.T) {
	begin := time.Unix(1000, 0)
	late := begin.Add(DefaultBounds().InForce + time.Second)
	order := Event{Kind: KindSent, Request: "a", Operation: "monday"}
	again := Event{Kind: KindSent, Request: "b", Operation: "monday"}
	lost := func(request string) Event {
		return Event{Kind: KindRefused, Request: request, Fate: classifier.MayHaveRun}
	}
	started := func(request, place string) Event {
		return Event{Kind: KindStarted, Request: request, BackendServer: place, At: begin}
	}
	item := Event{Kind: KindItemAccepted, Request: "1", Job: "j", Idempotent: true}
	read := func(reading int, text string) Event {
		return Event{Kind: KindItemRead, Request: "1", Job: "j", Reading: reading, Text: text}
	}

	for name, scenario := range map[string]struct {
		rule  string
		kept  []Event
		fault []Event
	}{
		"no end":             {"Each request ends once", []Event{order, lost("a")}, []Event{order}},
		"two ends":           {"Each request ends once", []Event{order, lost("a")}, []Event{order, lost("a"), lost("a")}},
		"an end of nothing":  {"Each request ends once", []Event{order, lost("a")}, []Event{lost("a")}},
		"item without":       {"Each accepted item has one result", []Event{item, read(1, "x")}, []Event{item}},
		"item twice":         {"Each accepted item has one result", []Event{item, read(1, "x"), read(2, "x")}, []Event{item, read(1, "x"), read(1, "x")}},
		"item changes":       {"Each accepted item has one result", []Event{item, read(1, "x"), read(2, "x")}, []Event{item, read(1, "x"), read(2, "y")}},
		"item vanishes":      {"Each accepted item has one result", []Event{item, read(1, "x")}, []Event{item, read(1, "x"), {Kind: KindItemRead, Request: "2", Job: "j", Reading: 2}}},
		"start after cancel": {"Nothing starts after an acknowledged cancellation", []Event{{Kind: KindStarted, Job: "j"}, {Kind: KindCancelAcknowledged, Job: "j"}, {Kind: KindStarted, Job: "k"}}, []Event{{Kind: KindCancelAcknowledged, Job: "j"}, {Kind: KindStarted, Job: "j"}}},
		"ran before NotRun":  {"NotRun is true", []Event{order, started("a", "x"), lost("a")}, []Event{order, started("a", "x"), {Kind: KindRefused, Request: "a", Fate: classifier.NotRun}}},
		"ran after NotRun":   {"NotRun is true", []Event{order, lost("a"), started("a", "x")}, []Event{order, {Kind: KindRefused, Request: "a", Fate: classifier.NotRun}, started("a", "x")}},
		"twice at one":       {"A non-idempotent operation starts at most once", []Event{order, lost("a"), started("a", "x")}, []Event{order, lost("a"), started("a", "x"), started("a", "x")}},
		"copies at two":      {"A non-idempotent operation starts at most once", []Event{order, again, lost("a"), lost("b"), started("a", "x")}, []Event{order, again, lost("a"), lost("b"), started("a", "x"), started("b", "y")}},
		"item twice at two":  {"A non-idempotent operation starts at most once", []Event{item, read(1, "x"), started("1", "x"), started("1", "y")}, []Event{{Kind: KindItemAccepted, Request: "1", Job: "j"}, read(1, "x"), started("1", "x"), started("1", "y")}},
		"short answer":       {"An answer is whole and belongs to its request", []Event{{Kind: KindSent, Request: "a", Wanted: "xy"}, {Kind: KindAnswered, Request: "a", Text: "xy"}}, []Event{{Kind: KindSent, Request: "a", Wanted: "xy"}, {Kind: KindAnswered, Request: "a", Text: "x"}}},
		"copies differ":      {"An answer is whole and belongs to its request", []Event{order, again, {Kind: KindAnswered, Request: "a", Text: "x"}, {Kind: KindAnswered, Request: "b", Text: "x"}}, []Event{order, again, {Kind: KindAnswered, Request: "a", Text: "x"}, {Kind: KindAnswered, Request: "b", Text: "y"}}},
		"revision falls":     {"The configuration in force never falls", []Event{{Kind: KindInForce, Process: "e", Revision: 2}, {Kind: KindInForce, Process: "f", Revision: 1}}, []Event{{Kind: KindInForce, Process: "e", Revision: 2}, {Kind: KindInForce, Process: "e", Revision: 1}}},
		"revision is late":   {"An acknowledged configuration is in force in time", []Event{{Kind: KindEditAcknowledged, Revision: 2, At: begin}, {Kind: KindInForce, Process: "e", Revision: 2, At: late}}, []Event{{Kind: KindEditAcknowledged, Revision: 2, At: begin}, {Kind: KindInForce, Process: "e", Revision: 1, At: late}}},
		"new work":           {"A leaving process gives no new work after its bound", []Event{{Kind: KindLeaving, Process: "x", At: begin}, started("a", "x")}, []Event{{Kind: KindLeaving, Process: "x", At: begin}, {Kind: KindStarted, Request: "a", BackendServer: "x", At: late}}},
		"cut":                {"A planned stop cuts no request", []Event{order, {Kind: KindLeaving, Process: "x"}, {Kind: KindKilled, Process: "x"}, {Kind: KindCut, Request: "a", Process: "x"}}, []Event{order, {Kind: KindLeaving, Process: "x"}, {Kind: KindCut, Request: "a", Process: "x"}}},
		"old order":          {"Fencing numbers obeyed never fall", []Event{{Kind: KindOrdered, BackendServer: "x", Fence: 2}, {Kind: KindOrdered, BackendServer: "y", Fence: 1}}, []Event{{Kind: KindOrdered, BackendServer: "x", Fence: 2}, {Kind: KindOrdered, BackendServer: "x", Fence: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, Check(historyOf(scenario.kept), DefaultBounds()))

			violations := Check(historyOf(scenario.fault), DefaultBounds())
			require.NotEmpty(t, violations)

			for _, violation := range violations {
				require.True(t, strings.HasPrefix(violation, scenario.rule+": "), violation)
			}
		})
	}
}

func historyOf(events []Event) *History {
	history := NewHistory()
	for _, event := range events {
		history.Add(event)
	}

	return history
}
