package enforcer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/enforcer"
	"limpetrail/kernel"
	"limpetrail/matcher"
)

func capped(rate float64, names ...string) map[string]*matcher.Workspace {
	workspaces := map[string]*matcher.Workspace{}
	for _, name := range names {
		workspaces[name] = &matcher.Workspace{Name: name, Cap: matcher.Cap{PerSecond: rate, Burst: rate}}
	}

	return workspaces
}

// A gateway without caps, or without the setting, must not change what it sends or decides.
func TestNothingHappensWithoutCaps(t *testing.T) {
	for name, scenario := range map[string]struct {
		settings   enforcer.Settings
		workspaces map[string]*matcher.Workspace
	}{
		"no setting":   {enforcer.Settings{}, capped(1, "a")},
		"no workspace": {settings, nil},
		"rate of 0":    {settings, capped(0, "a")},
	} {
		t.Run(name, func(t *testing.T) {
			subject := enforcer.NewEnforcer(kernel.NewDiscardCommon("own"), scenario.settings)
			subject.SetCaps(scenario.workspaces)
			require.False(t, subject.Active())
			require.Nil(t, subject.Report(origin))

			for range 1000 {
				require.True(t, subject.Admit("a", origin).Admitted)
			}
		})
	}
}

// A refused caller that waits as told is admitted; a shorter wait would cost it another refusal.
// A refunded request must not count.
func TestRetryAfterAndRefund(t *testing.T) {
	for _, peers := range [][]string{nil, {"b", "c"}} {
		subject := enforcer.NewEnforcer(kernel.NewDiscardCommon("own"), settings)
		subject.SetCaps(capped(8, "a"))

		now := origin
		subject.SetPeers(peers, now)

		for range 20 {
			verdict := subject.Admit("a", now)
			for ; verdict.Admitted; verdict = subject.Admit("a", now) {
				subject.Report(now)
			}

			require.GreaterOrEqual(t, verdict.RetryAfter, 10*time.Millisecond)
			now = now.Add(verdict.RetryAfter)

			for _, peer := range peers {
				subject.ApplyReport(peer, "1", &enforcer.Report{}, now)
			}

			require.True(t, subject.Admit("a", now).Admitted, "after %s with %d peers", verdict.RetryAfter, len(peers))
			subject.Refund("a")
			require.True(t, subject.Admit("a", now).Admitted, "after a refund")
		}
	}
}

// A gateway that doesn't know the list of members may be one of many: it must admit nothing.
func TestUnlistedProcessAdmitsNothing(t *testing.T) {
	subject := enforcer.NewEnforcer(kernel.NewDiscardCommon("own"), settings, enforcer.WithRegistration(func() bool { return false }))
	subject.SetCaps(capped(100, "a"))

	for second := range 100 {
		require.False(t, subject.Admit("a", origin.Add(time.Duration(second)*time.Second)).Admitted)
	}
}

// A report that exceeds the limit of a datagram is not sent at all. All workspaces must be reported
// within a few reports.
func TestReportsAreBounded(t *testing.T) {
	names := []string{}
	for number := range 2000 {
		names = append(names, fmt.Sprintf("%s-%d", strings.Repeat("w", number%100), number))
	}

	subject := enforcer.NewEnforcer(kernel.NewDiscardCommon("own"), settings)
	subject.SetCaps(capped(100, names...))
	subject.SetPeers(nil, origin)

	for _, name := range names {
		subject.Admit(name, origin)
	}

	now, reported := origin.Add(time.Second), map[string]bool{}

	for _, name := range names {
		require.True(t, subject.Admit(name, now).Admitted)
	}

	for range 20 {
		report := subject.Report(now)
		encoded, err := json.Marshal(report)
		require.NoError(t, err)
		require.LessOrEqual(t, len(encoded), 14<<10)
		require.LessOrEqual(t, len(report.Uses), 256)

		for name := range report.Uses {
			reported[name] = true
		}
	}

	require.Len(t, reported, len(names))
}

// BenchmarkAdmit decides about one of 2,000 workspaces among 380 gateways.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []struct{ workspaces, peers int }{{1, 7}, {79, 7}, {2000, 379}} {
		b.Run(fmt.Sprintf("%d workspaces, %d peers", size.workspaces, size.peers), func(b *testing.B) {
			names, peers, uses := []string{}, []string{}, map[string]enforcer.Use{}
			for number := range size.workspaces {
				names = append(names, fmt.Sprint("workspace-", number))
				uses[names[number]] = enforcer.Use{1, 1}
			}

			for number := range size.peers {
				peers = append(peers, fmt.Sprint("gateway-", number))
			}

			subject := enforcer.NewEnforcer(kernel.NewDiscardCommon("own"), settings)
			subject.SetCaps(capped(1000, names...))
			subject.SetPeers(peers, origin)

			for _, peer := range peers {
				subject.ApplyReport(peer, "1", &enforcer.Report{Uses: uses}, origin)
			}

			b.ReportAllocs()

			now, turn := origin, 0
			for b.Loop() {
				now = now.Add(20 * time.Microsecond)
				subject.Admit(names[turn%len(names)], now)
				turn++
			}
		})
	}
}
