package quarantiner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

// An item that was alone at a crashed server was taken for the cause, although other servers
// crashed with that one.
func TestEndsOfOtherServersExplainAnEnd(t *testing.T) {
	server, other := placer.Server{ID: "s1"}, placer.Server{ID: "s2"}

	for name, scenario := range map[string]struct {
		// end lets the other server end.
		end    func(t *testing.T, subject *quarantiner.Quarantiner)
		after  time.Duration
		except []placer.Server
		beside bool
	}{
		"nothing else ended": {func(*testing.T, *quarantiner.Quarantiner) {}, 0, nil, false},
		"under another request": {func(t *testing.T, subject *quarantiner.Quarantiner) {
			t.Helper()
			run, _, _ := subject.Start(quarantiner.Request{ID: "r", Service: "model"}, other)
			run.BreakOff(t.Context(), "cut")
		}, 0, nil, true},
		"under a stream that had begun": {func(t *testing.T, subject *quarantiner.Quarantiner) {
			t.Helper()
			run, _, _ := subject.Start(quarantiner.Request{ID: "r", Service: "model"}, other)
			run.Begin()
			run.BreakOff(t.Context(), "cut")
		}, 0, nil, true},
		"at another entry": {func(_ *testing.T, subject *quarantiner.Quarantiner) {
			subject.ApplyFindings("entry-2", []quarantiner.Finding{{
				Subject: quarantiner.Subject{Service: "model", Part: "a"}, Strikes: []quarantiner.FindingStrike{{Incarnation: quarantiner.Incarnation{Server: "s2"}, RequestID: "r", SentAge: time.Second}},
			}})
		}, 0, nil, true},
		"of another service": {func(t *testing.T, subject *quarantiner.Quarantiner) {
			t.Helper()
			run, _, _ := subject.Start(quarantiner.Request{ID: "r", Service: "other"}, other)
			run.BreakOff(t.Context(), "cut")
		}, 0, nil, false},
		"under the item itself": {func(t *testing.T, subject *quarantiner.Quarantiner) {
			t.Helper()
			run, _, _ := subject.Start(quarantiner.Request{ID: "item", Service: "model"}, other)
			run.BreakOff(t.Context(), "cut")
		}, 0, []placer.Server{other}, false},
		"long before": {func(t *testing.T, subject *quarantiner.Quarantiner) {
			t.Helper()
			run, _, _ := subject.Start(quarantiner.Request{ID: "r", Service: "model"}, other)
			run.BreakOff(t.Context(), "cut")
		}, 5 * time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				subject := quarantiner.NewQuarantiner(kernel.NewDiscardCommon("entry-1"), &liveness{ended: true})
				scenario.end(t, subject)
				synctest.Wait()
				time.Sleep(scenario.after)
				require.Equal(t, scenario.beside, subject.EndedBeside("model", server, time.Now(), scenario.except))
			})
		})
	}
}
