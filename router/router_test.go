package router_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/recorder"
	"limpetrail/router"
)

const service = "briefing"

func replicas(count int) []router.Replica {
	list := make([]router.Replica, count)
	for index := range list {
		list[index] = router.Replica{Name: fmt.Sprintf("replica-%04d", index), Address: fmt.Sprintf("a:%d", index), Service: service}
	}

	return list
}

func newRouter(count int) *router.Router {
	routes := router.NewRouter(kernel.NewDiscardCommon("entry-1"), router.WithSeed(1))
	routes.Update(replicas(count))

	return routes
}

// pickRepeatedly records each picked attempt as answered and counts the picks of
// each replica.
func pickRepeatedly(routes *router.Router, criteria router.Criteria, picks int) map[string]int {
	counts := map[string]int{}

	for range picks {
		replica, found := routes.Pick(criteria)
		if found {
			counts[replica.Name]++
			routes.RecordResult(replica.Name, router.ResultAnswered)
		}
	}

	return counts
}

// eject records failures of a replica until it is ejected.
func eject(routes *router.Router, name string) {
	for range 3 {
		routes.RecordResult(name, router.ResultFailed)
	}
}

func TestPickSkipsUnusableReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		arrange  func(routes *router.Router)
		criteria router.Criteria
		want     []string
	}{
		"excluded by the request": {
			arrange:  func(*router.Router) {},
			criteria: router.Criteria{Exclude: []string{"replica-0000"}},
			want:     []string{"replica-0001", "replica-0002"},
		},
		"listed as leaving by the platform": {
			arrange: func(routes *router.Router) {
				list := replicas(3)
				list[1].Leaving = true
				routes.Update(list)
			},
			want: []string{"replica-0000", "replica-0002"},
		},
		"reported draining by the sidecar": {
			arrange: func(routes *router.Router) {
				routes.ApplyLoad("replica-0002", router.Load{Draining: true})
			},
			want: []string{"replica-0000", "replica-0001"},
		},
		"ejected": {
			arrange: func(routes *router.Router) { eject(routes, "replica-0000") },
			want:    []string{"replica-0001", "replica-0002"},
		},
		"at most half of the service ejected": {
			arrange: func(routes *router.Router) {
				eject(routes, "replica-0000")
				eject(routes, "replica-0001")
				eject(routes, "replica-0002")
			},
			want: []string{"replica-0001", "replica-0002"},
		},
		"ejected but no other left": {
			arrange:  func(routes *router.Router) { eject(routes, "replica-0000") },
			criteria: router.Criteria{Exclude: []string{"replica-0001", "replica-0002"}},
			want:     []string{"replica-0000"},
		},
		"ejection ends when a new process takes the name": {
			arrange: func(routes *router.Router) {
				eject(routes, "replica-0000")

				list := replicas(3)
				list[0].Address = "b:0"
				routes.Update(list)
			},
			want: []string{"replica-0000", "replica-0001", "replica-0002"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			routes := newRouter(3)
			test.arrange(routes)
			test.criteria.Service = service

			counts := pickRepeatedly(routes, test.criteria, 300)
			require.Len(t, counts, len(test.want))

			for _, replica := range test.want {
				require.Contains(t, counts, replica)
			}
		})
	}
}

// Guards against a replica that is never used again: a sidecar restarted with the
// name and address of the drained one is not announced to the entry.
func TestDrainingReplicaIsRetriedAfterReportExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(1)
		criteria := router.Criteria{Service: service}

		for range 2 {
			routes.ApplyLoad("replica-0000", router.Load{Draining: true})
			require.Empty(t, pickRepeatedly(routes, criteria, 10))

			time.Sleep(10*time.Second - time.Millisecond)
			require.Empty(t, pickRepeatedly(routes, criteria, 10))

			time.Sleep(time.Millisecond)
			require.Equal(t, map[string]int{"replica-0000": 10}, pickRepeatedly(routes, criteria, 10))
		}
	})
}

func TestEjectedReplicaReturnsAfterOneTrialRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(2)
		firstOnly := router.Criteria{Service: service, Exclude: []string{"replica-0001"}}
		unrestricted := router.Criteria{Service: service}

		eject(routes, "replica-0000")
		require.NotContains(t, pickRepeatedly(routes, unrestricted, 100), "replica-0000")

		time.Sleep(10 * time.Second)

		trial, found := routes.Pick(firstOnly)
		require.True(t, found)
		require.Equal(t, "replica-0000", trial.Name)
		require.NotContains(t, pickRepeatedly(routes, unrestricted, 100), "replica-0000", "a second trial was started")

		routes.RecordResult("replica-0000", router.ResultAnswered)
		require.Contains(t, pickRepeatedly(routes, unrestricted, 100), "replica-0000")

		kinds := []recorder.Kind{}
		for _, event := range routes.Recorder.Find(recorder.Query{}) {
			kinds = append(kinds, event.Kind)
		}

		require.Equal(t, []recorder.Kind{recorder.KindEjected, recorder.KindReturned}, kinds)
	})
}

func TestPickPrefersLessLoadedAndDiscountsOldReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(2)
		routes.ApplyLoad("replica-0000", router.Load{RunningOnline: 10, Limit: 16})
		routes.ApplyLoad("replica-0001", router.Load{RunningOnline: 1, Limit: 16})
		require.Equal(t, map[string]int{"replica-0001": 100}, pickRepeatedly(routes, router.Criteria{Service: service}, 100))

		time.Sleep(time.Hour)
		routes.ApplyLoad("replica-0001", router.Load{RunningOnline: 1, Limit: 16})
		require.Equal(t, map[string]int{"replica-0000": 100}, pickRepeatedly(routes, router.Criteria{Service: service}, 100))
	})
}

func TestPrefixStaysAtHomeAndSpillsUnderLoad(t *testing.T) {
	routes := newRouter(40)
	prompt := []byte(strings.Repeat("You draft hire orders. ", 40))
	criteria := router.Criteria{Service: service, PrefixKeys: router.PrefixKeys(prompt)}

	require.Len(t, pickRepeatedly(routes, criteria, 200), 1, "an idle home must get all requests")

	picked := map[string]bool{}

	for range 200 {
		replica, found := routes.Pick(criteria)
		require.True(t, found)

		picked[replica.Name] = true
	}

	require.Greater(t, len(picked), 3, "a hot prefix must spill beyond its homes")
}

func TestFewPrefixHomesMoveWhenReplicasChange(t *testing.T) {
	const prefixes = 2000

	routes := newRouter(40)
	pickHome := func(prefix int) string {
		criteria := router.Criteria{Service: service, PrefixKeys: router.PrefixKeys([]byte(strings.Repeat(fmt.Sprint(prefix, " "), 256)))}
		replica, found := routes.Pick(criteria)
		require.True(t, found)
		routes.RecordResult(replica.Name, router.ResultAnswered)

		return replica.Name
	}

	before := make([]string, prefixes)
	for prefix := range before {
		before[prefix] = pickHome(prefix)
	}

	routes.Update(replicas(40)[:39])

	moved := 0

	for prefix := range before {
		if after := pickHome(prefix); after != before[prefix] {
			require.Equal(t, "replica-0039", before[prefix], "only prefixes of the removed replica may move")

			moved++
		}
	}

	require.Less(t, moved, prefixes/10)
}

func TestPrefixKeysOfGrowingPrompt(t *testing.T) {
	prompt := []byte(strings.Repeat("x", 256*70))
	require.Empty(t, router.PrefixKeys(prompt[:255]))
	require.Len(t, router.PrefixKeys(prompt[:256]), 1)
	require.Len(t, router.PrefixKeys(prompt[:256*4]), 2)
	require.Len(t, router.PrefixKeys(prompt), 4)
	require.Equal(t, router.PrefixKeys(prompt[:256*4]), router.PrefixKeys(prompt[:256*15]))
	require.Equal(t, router.PrefixKeys(prompt[:256*4]), router.PrefixKeys(prompt)[:2])
}

// Together with the ratios that BenchmarkPick reports, this checks the target
// that the cost of a pick grows more slowly than the logarithm of the number of
// replicas.
func TestPickAllocatesNothing(t *testing.T) {
	for _, count := range []int{12, 200, 1600} {
		routes := newRouter(count)
		criteria := router.Criteria{Service: service, PrefixKeys: []uint64{7, 8, 9}, Exclude: []string{"replica-0001"}}

		require.Zero(t, testing.AllocsPerRun(100, func() {
			replica, _ := routes.Pick(criteria)
			routes.RecordResult(replica.Name, router.ResultAnswered)
		}))
	}
}

func BenchmarkPick(b *testing.B) {
	nanoseconds := map[int]float64{}

	for _, count := range []int{12, 200, 1600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			routes := newRouter(count)
			criteria := router.Criteria{Service: service, PrefixKeys: make([]uint64, 1)}

			b.ReportAllocs()

			key := uint64(0)

			for b.Loop() {
				key += 0x9e3779b97f4a7c15
				criteria.PrefixKeys[0] = key
				replica, _ := routes.Pick(criteria)
				routes.RecordResult(replica.Name, router.ResultAnswered)
			}

			nanoseconds[count] = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(nanoseconds[count]/nanoseconds[12], "times-12")
			b.ReportMetric(math.Log(float64(count))/math.Log(12), "log-times-12")
		})
	}
}
