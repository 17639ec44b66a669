package gossiper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// circle is an entry that hears three others.
type circle struct {
	*Gossiper
	number int64
}

func newCircle(t *testing.T) *circle {
	t.Helper()

	common := kernel.Discard("own")
	made := &circle{Gossiper: NewGossiper(common, placer.NewPlacer(common), "")}
	made.SetPeers(map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})

	return made
}

// reports comes from a start of an entry.
func (circle *circle) reports(instance string, start int64) {
	circle.number++
	circle.hear(Report{Instance: instance, Process: fmt.Sprintf("%s#%d", instance, start), Incarnation: start, Number: circle.number})
}

// A process is silent if it was heard and is not any more while most others are, or if
// another start of its entry reports.
func TestSilentProcesses(t *testing.T) {
	for name, scenario := range map[string]struct {
		happen func(circle *circle)
		silent bool
	}{
		"all are heard":    {func(circle *circle) { circle.reports("a", 1) }, false},
		"reports are lost": {func(circle *circle) { time.Sleep(3 * (longestInterval + circle.interval())) }, false},
		"it is silent": {func(circle *circle) {
			time.Sleep(circle.silentAfter())
			circle.reports("b", 1)
			circle.reports("c", 1)
		}, true},
		"it is heard again": {func(circle *circle) {
			time.Sleep(circle.silentAfter())
			circle.reports("b", 1)
			circle.reports("c", 1)
			circle.reports("a", 1)
		}, false},
		"another start reports":             {func(circle *circle) { circle.reports("a", 2) }, true},
		"a late report of an earlier start": {func(circle *circle) { circle.reports("a", 0) }, false},
		"this entry is cut off":             {func(*circle) { time.Sleep(time.Minute) }, false},
		"most others are silent": {func(circle *circle) {
			time.Sleep(circle.silentAfter())
			circle.reports("b", 1)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				circle := newCircle(t)
				for _, instance := range []string{"a", "b", "c"} {
					circle.reports(instance, 1)
				}

				scenario.happen(circle)
				require.Equal(t, scenario.silent, circle.Silent("a#1"))
				require.False(t, circle.Silent("stranger#1"))
			})
		})
	}
}

// Where many entries report to each other, reports are further apart: an entry is not
// taken for silent for it.
func TestSilenceAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		circle := newCircle(t)
		peers := map[string]string{}

		for number := range 380 {
			peers[fmt.Sprint(number)] = fmt.Sprintf("127.0.0.1:%d", 1000+number)
		}

		circle.SetPeers(peers)

		between := circle.interval() + longestInterval

		for range 3 {
			for instance := range peers {
				circle.reports(instance, 1)
			}

			// Two reports of this one are lost.
			circle.reports("a", 1)
			time.Sleep(3 * between)

			for instance := range peers {
				circle.reports(instance, 1)
			}

			require.False(t, circle.Silent("a#1"))
		}
	})
}
