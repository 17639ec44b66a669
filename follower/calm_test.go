package follower_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/follower"
	"limpetrail/keeper"
)

// Each scenario loses the answer of the waiting watch to a change, and says whether
// that is noticed within a second.
func TestSilentLongWatchIsNoticed(t *testing.T) {
	for name, scenario := range map[string]struct {
		happen func(story *story, calm *atomic.Bool)
		seen   bool
	}{
		"others saw the change": {seen: true, happen: func(story *story, _ *atomic.Bool) {
			story.made.Notice(story.made.Mark() + 1)
		}},
		"times are no longer calm": {seen: true, happen: func(_ *story, calm *atomic.Bool) {
			calm.Store(false)
		}},
		"others saw nothing new": {happen: func(story *story, _ *atomic.Bool) {
			story.made.Notice(story.made.Mark())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			calm := &atomic.Bool{}
			calm.Store(true)

			tell(t, func(story *story) {
				story.loses.Store(true)
				story.catalog.Put(prefix+"c", nil)
				time.Sleep(100 * time.Millisecond)

				scenario.happen(story, calm)
				time.Sleep(time.Second)

				if scenario.seen {
					story.expect("a", "b", "c")
				} else {
					story.expect("a", "b")
				}
			}, follower.WithWait(prompt), follower.WithCalm(calm.Load))
		})
	}
}

// A fleet in which nothing changes makes few calls, also where a mark is heard of
// that never comes.
func TestCalmWatchesAreFew(t *testing.T) {
	for name, mark := range map[string]keeper.Revision{"nothing is heard": 0, "a mark without a change": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			tell(t, func(story *story) {
				before := story.catalog.Calls("Watch")

				for range 100 {
					story.made.Notice(mark)
					time.Sleep(time.Second)
				}

				require.LessOrEqual(t, story.catalog.Calls("Watch")-before, 8)
			}, follower.WithWait(prompt), follower.WithCalm(func() bool { return true }))
		})
	}
}
