package follower_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/follower"
	"limpetrail/keeper"
)

// Each scenario loses the answer of a waiting watch when a key changes, and says whether
// that is noticed within a second.
func TestSilentLongWatchIsRestarted(t *testing.T) {
	for name, scenario := range map[string]struct {
		act     func(fixture *fixture, allowed *atomic.Bool)
		noticed bool
	}{
		"a peer saw the change": {noticed: true, act: func(fixture *fixture, _ *atomic.Bool) {
			fixture.subject.ApplyPeerRevision(fixture.subject.NewestRevision() + 1)
		}},
		"long watches are no longer allowed": {noticed: true, act: func(_ *fixture, allowed *atomic.Bool) {
			allowed.Store(false)
		}},
		"no peer saw the change": {act: func(fixture *fixture, _ *atomic.Bool) {
			fixture.subject.ApplyPeerRevision(fixture.subject.NewestRevision())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			allowed := &atomic.Bool{}
			allowed.Store(true)

			runWithFollower(t, func(fixture *fixture) {
				fixture.loseAnswer.Store(true)
				fixture.catalog.Put(prefix+"c", nil)
				time.Sleep(100 * time.Millisecond)

				scenario.act(fixture, allowed)
				time.Sleep(time.Second)

				if scenario.noticed {
					fixture.expect("a", "b", "c")
				} else {
					fixture.expect("a", "b")
				}
			}, follower.WithWatchWait(shortWatchWait), follower.WithLongWatches(allowed.Load))
		})
	}
}

// While nothing changes, a follower makes few calls, also if a peer reports a revision
// that the watch never returns.
func TestLongWatchesMakeFewCalls(t *testing.T) {
	for name, revision := range map[string]keeper.Revision{"no revision reported": 0, "a revision without a change": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			runWithFollower(t, func(fixture *fixture) {
				callsBefore := fixture.catalog.CallCount("Watch")

				for range 100 {
					fixture.subject.ApplyPeerRevision(revision)
					time.Sleep(time.Second)
				}

				require.LessOrEqual(t, fixture.catalog.CallCount("Watch")-callsBefore, 8)
			}, follower.WithWatchWait(shortWatchWait), follower.WithLongWatches(func() bool { return true }))
		})
	}
}
