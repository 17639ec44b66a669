package checker

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
)

// Each case has a history that violates one rule and no other, and a similar
// history that violates none.
func TestEachRuleFindsItsViolationAndNoOther(t *testing.T) {
	begin := time.Unix(1000, 0)
	late := begin.Add(DefaultBounds().EditDelay + time.Second)
	order := Event{Kind: KindSent, Request: "a", Operation: "monday"}
	orderCopy := Event{Kind: KindSent, Request: "b", Operation: "monday"}
	refused := func(request string) Event {
		return Event{Kind: KindRefused, Request: request, Fate: classifier.MayHaveRun}
	}
	started := func(request, server string) Event {
		return Event{Kind: KindStarted, Request: request, BackendServer: server, Timestamp: begin}
	}
	item := Event{Kind: KindItemAccepted, Request: "1", Job: "j", Idempotent: true}
	read := func(number int, text string) Event {
		return Event{Kind: KindItemRead, Request: "1", Job: "j", ReadNumber: number, Text: text}
	}

	for name, scenario := range map[string]struct {
		rule      string
		valid     []Event
		violating []Event
	}{
		"request without end":                  {"Each request ends exactly once", []Event{order, refused("a")}, []Event{order}},
		"request ends twice":                   {"Each request ends exactly once", []Event{order, refused("a")}, []Event{order, refused("a"), refused("a")}},
		"end of unsent request":                {"Each request ends exactly once", []Event{order, refused("a")}, []Event{refused("a")}},
		"item without result":                  {"Each accepted item has one result", []Event{item, read(1, "x")}, []Event{item}},
		"item has two results":                 {"Each accepted item has one result", []Event{item, read(1, "x"), read(2, "x")}, []Event{item, read(1, "x"), read(1, "x")}},
		"result changes":                       {"Each accepted item has one result", []Event{item, read(1, "x"), read(2, "x")}, []Event{item, read(1, "x"), read(2, "y")}},
		"result vanishes":                      {"Each accepted item has one result", []Event{item, read(1, "x")}, []Event{item, read(1, "x"), {Kind: KindItemRead, Request: "2", Job: "j", ReadNumber: 2}}},
		"start after cancel":                   {"Nothing starts after an acknowledged cancellation", []Event{{Kind: KindStarted, Job: "j"}, {Kind: KindCancelAcknowledged, Job: "j"}, {Kind: KindStarted, Job: "k"}}, []Event{{Kind: KindCancelAcknowledged, Job: "j"}, {Kind: KindStarted, Job: "j"}}},
		"ran before NotRun":                    {"A request refused as NotRun never starts", []Event{order, started("a", "x"), refused("a")}, []Event{order, started("a", "x"), {Kind: KindRefused, Request: "a", Fate: classifier.NotRun}}},
		"ran after NotRun":                     {"A request refused as NotRun never starts", []Event{order, refused("a"), started("a", "x")}, []Event{order, {Kind: KindRefused, Request: "a", Fate: classifier.NotRun}, started("a", "x")}},
		"operation starts twice at one server": {"A non-idempotent operation starts at most once", []Event{order, refused("a"), started("a", "x")}, []Event{order, refused("a"), started("a", "x"), started("a", "x")}},
		"copies start at two servers":          {"A non-idempotent operation starts at most once", []Event{order, orderCopy, refused("a"), refused("b"), started("a", "x")}, []Event{order, orderCopy, refused("a"), refused("b"), started("a", "x"), started("b", "y")}},
		"item starts at two servers":           {"A non-idempotent operation starts at most once", []Event{item, read(1, "x"), started("1", "x"), started("1", "y")}, []Event{{Kind: KindItemAccepted, Request: "1", Job: "j"}, read(1, "x"), started("1", "x"), started("1", "y")}},
		"incomplete answer":                    {"An answer is complete and belongs to its request", []Event{{Kind: KindSent, Request: "a", ExpectedAnswer: "xy"}, {Kind: KindAnswered, Request: "a", Text: "xy"}}, []Event{{Kind: KindSent, Request: "a", ExpectedAnswer: "xy"}, {Kind: KindAnswered, Request: "a", Text: "x"}}},
		"copies differ":                        {"An answer is complete and belongs to its request", []Event{order, orderCopy, {Kind: KindAnswered, Request: "a", Text: "x"}, {Kind: KindAnswered, Request: "b", Text: "x"}}, []Event{order, orderCopy, {Kind: KindAnswered, Request: "a", Text: "x"}, {Kind: KindAnswered, Request: "b", Text: "y"}}},
		"revision decreases":                   {"The revision of the configuration in use never decreases", []Event{{Kind: KindInForce, Process: "e", Revision: 2}, {Kind: KindInForce, Process: "f", Revision: 1}}, []Event{{Kind: KindInForce, Process: "e", Revision: 2}, {Kind: KindInForce, Process: "e", Revision: 1}}},
		"revision is late":                     {"An acknowledged configuration is in use in time", []Event{{Kind: KindEditAcknowledged, Revision: 2, Timestamp: begin}, {Kind: KindInForce, Process: "e", Revision: 2, Timestamp: late}}, []Event{{Kind: KindEditAcknowledged, Revision: 2, Timestamp: begin}, {Kind: KindInForce, Process: "e", Revision: 1, Timestamp: late}}},
		"start while leaving":                  {"A leaving process starts no request after the allowed time", []Event{{Kind: KindLeaving, Process: "x", Timestamp: begin}, started("a", "x")}, []Event{{Kind: KindLeaving, Process: "x", Timestamp: begin}, {Kind: KindStarted, Request: "a", BackendServer: "x", Timestamp: late}}},
		"cut in a planned stop":                {"A planned stop cuts no request", []Event{order, {Kind: KindLeaving, Process: "x"}, {Kind: KindKilled, Process: "x"}, {Kind: KindConnectionLost, Request: "a", Process: "x"}}, []Event{order, {Kind: KindLeaving, Process: "x"}, {Kind: KindConnectionLost, Request: "a", Process: "x"}}},
		"fencing number decreases":             {"The fencing numbers of executed orders never decrease", []Event{{Kind: KindOrdered, BackendServer: "x", Fence: 2}, {Kind: KindOrdered, BackendServer: "y", Fence: 1}}, []Event{{Kind: KindOrdered, BackendServer: "x", Fence: 2}, {Kind: KindOrdered, BackendServer: "x", Fence: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, Check(historyOf(scenario.valid), DefaultBounds()))

			violations := Check(historyOf(scenario.violating), DefaultBounds())
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
