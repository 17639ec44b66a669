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
	all := make([]router.Replica, count)
	for index := range all {
		all[index] = router.Replica{Name: fmt.Sprintf("replica-%04d", index), Address: fmt.Sprintf("a:%d", index), Service: service}
	}

	return all
}

func newRouter(count int) *router.Router {
	routes := router.NewRouter(kernel.Discard("entry-1"), router.WithSeed(1))
	routes.Update(replicas(count))

	return routes
}

// spread picks and observes answers, and counts where the picks went.
func spread(routes *router.Router, question router.Question, picks int) map[string]int {
	counts := map[string]int{}

	for range picks {
		replica, found := routes.Pick(question)
		if found {
			counts[replica.Name]++
			routes.Observe(replica.Name, router.ResultAnswered)
		}
	}

	return counts
}

// fail makes a replica fail until it is ejected.
func fail(routes *router.Router, name string) {
	for range 3 {
		routes.Observe(name, router.ResultFailed)
	}
}

func TestPickLeavesOut(t *testing.T) {
	for name, scenario := range map[string]struct {
		arrange  func(routes *router.Router)
		question router.Question
		wants    []string
	}{
		"excluded ones": {
			arrange:  func(*router.Router) {},
			question: router.Question{Exclude: []string{"replica-0000"}},
			wants:    []string{"replica-0001", "replica-0002"},
		},
		"those the platform says leave": {
			arrange: func(routes *router.Router) {
				list := replicas(3)
				list[1].Leaving = true
				routes.Update(list)
			},
			wants: []string{"replica-0000", "replica-0002"},
		},
		"those whose sidecar says draining": {
			arrange: func(routes *router.Router) {
				routes.Report("replica-0002", router.Load{Draining: true})
			},
			wants: []string{"replica-0000", "replica-0001"},
		},
		"ejected ones": {
			arrange: func(routes *router.Router) { fail(routes, "replica-0000") },
			wants:   []string{"replica-0001", "replica-0002"},
		},
		"none beyond half of the service": {
			arrange: func(routes *router.Router) {
				fail(routes, "replica-0000")
				fail(routes, "replica-0001")
				fail(routes, "replica-0002")
			},
			wants: []string{"replica-0001", "replica-0002"},
		},
		"none when all that is left is ejected": {
			arrange:  func(routes *router.Router) { fail(routes, "replica-0000") },
			question: router.Question{Exclude: []string{"replica-0001", "replica-0002"}},
			wants:    []string{"replica-0000"},
		},
		"an ejected one no more once another process has its name": {
			arrange: func(routes *router.Router) {
				fail(routes, "replica-0000")

				list := replicas(3)
				list[0].Address = "b:0"
				routes.Update(list)
			},
			wants: []string{"replica-0000", "replica-0001", "replica-0002"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			routes := newRouter(3)
			scenario.arrange(routes)
			scenario.question.Service = service

			counts := spread(routes, scenario.question, 300)
			require.Len(t, counts, len(scenario.wants))

			for _, want := range scenario.wants {
				require.Contains(t, counts, want)
			}
		})
	}
}

// A sidecar that is started again in its place has the name and address of the
// one that left; nobody tells the entry of it.
func TestReplicaThatSaidDrainingIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(1)
		question := router.Question{Service: service}

		for range 2 {
			routes.Report("replica-0000", router.Load{Draining: true})
			require.Empty(t, spread(routes, question, 10))

			time.Sleep(10*time.Second - time.Millisecond)
			require.Empty(t, spread(routes, question, 10))

			time.Sleep(time.Millisecond)
			require.Equal(t, map[string]int{"replica-0000": 10}, spread(routes, question, 10))
		}
	})
}

func TestEjectedReplicaReturnsByOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(2)
		others := router.Question{Service: service, Exclude: []string{"replica-0001"}}
		both := router.Question{Service: service}

		fail(routes, "replica-0000")
		require.NotContains(t, spread(routes, both, 100), "replica-0000")

		time.Sleep(10 * time.Second)

		trial, found := routes.Pick(others)
		require.True(t, found)
		require.Equal(t, "replica-0000", trial.Name)
		require.NotContains(t, spread(routes, both, 100), "replica-0000", "one trial at a time")

		routes.Observe("replica-0000", router.ResultAnswered)
		require.Contains(t, spread(routes, both, 100), "replica-0000")

		kinds := []recorder.Kind{}
		for _, event := range routes.Recorder.Find(recorder.Query{}) {
			kinds = append(kinds, event.Kind)
		}

		require.Equal(t, []recorder.Kind{recorder.KindEjected, recorder.KindReturned}, kinds)
	})
}

func TestPickPrefersLessLoadedAndTrustsOldReportsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := newRouter(2)
		routes.Report("replica-0000", router.Load{RunningOnline: 10, Limit: 16})
		routes.Report("replica-0001", router.Load{RunningOnline: 1, Limit: 16})
		require.Equal(t, map[string]int{"replica-0001": 100}, spread(routes, router.Question{Service: service}, 100))

		time.Sleep(time.Hour)
		routes.Report("replica-0001", router.Load{RunningOnline: 1, Limit: 16})
		require.Equal(t, map[string]int{"replica-0000": 100}, spread(routes, router.Question{Service: service}, 100))
	})
}

func TestPrefixStaysAtHomeAndSpillsWhenHot(t *testing.T) {
	routes := newRouter(40)
	prompt := []byte(strings.Repeat("You draft hire orders. ", 40))
	question := router.Question{Service: service, PrefixKeys: router.PrefixKeys(prompt)}

	require.Len(t, spread(routes, question, 200), 1, "an idle home gets all")

	busy := map[string]bool{}

	for range 200 {
		replica, found := routes.Pick(question)
		require.True(t, found)

		busy[replica.Name] = true
	}

	require.Greater(t, len(busy), 3, "a hot prefix goes beyond its homes")
}

func TestPrefixHomesMoveLittleWhenReplicasChange(t *testing.T) {
	const prefixes = 2000

	routes := newRouter(40)
	home := func(prefix int) string {
		question := router.Question{Service: service, PrefixKeys: router.PrefixKeys([]byte(strings.Repeat(fmt.Sprint(prefix, " "), 256)))}
		replica, found := routes.Pick(question)
		require.True(t, found)
		routes.Observe(replica.Name, router.ResultAnswered)

		return replica.Name
	}

	before := make([]string, prefixes)
	for prefix := range before {
		before[prefix] = home(prefix)
	}

	routes.Update(replicas(40)[:39])

	moved := 0

	for prefix := range before {
		if after := home(prefix); after != before[prefix] {
			require.Equal(t, "replica-0039", before[prefix], "only the lost replica's prefixes move")

			moved++
		}
	}

	require.Less(t, moved, prefixes/10)
}

func TestPrefixKeysOfGrowingConversation(t *testing.T) {
	prompt := []byte(strings.Repeat("x", 256*70))
	require.Empty(t, router.PrefixKeys(prompt[:255]))
	require.Len(t, router.PrefixKeys(prompt[:256]), 1)
	require.Len(t, router.PrefixKeys(prompt[:256*4]), 2)
	require.Len(t, router.PrefixKeys(prompt), 4)
	require.Equal(t, router.PrefixKeys(prompt[:256*4]), router.PrefixKeys(prompt[:256*15]))
	require.Equal(t, router.PrefixKeys(prompt[:256*4]), router.PrefixKeys(prompt)[:2])
}

// TestPickAllocatesNothing and the benchmark's ratio below hold the target
// that a decision costs less than the logarithm of the replicas.
func TestPickAllocatesNothing(t *testing.T) {
	for _, count := range []int{12, 200, 1600} {
		routes := newRouter(count)
		question := router.Question{Service: service, PrefixKeys: []uint64{7, 8, 9}, Exclude: []string{"replica-0001"}}

		require.Zero(t, testing.AllocsPerRun(100, func() {
			replica, _ := routes.Pick(question)
			routes.Observe(replica.Name, router.ResultAnswered)
		}))
	}
}

func BenchmarkPick(b *testing.B) {
	nanoseconds := map[int]float64{}

	for _, count := range []int{12, 200, 1600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			routes := newRouter(count)
			question := router.Question{Service: service, PrefixKeys: make([]uint64, 1)}

			b.ReportAllocs()

			key := uint64(0)

			for b.Loop() {
				key += 0x9e3779b97f4a7c15
				question.PrefixKeys[0] = key
				replica, _ := routes.Pick(question)
				routes.Observe(replica.Name, router.ResultAnswered)
			}

			nanoseconds[count] = float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(nanoseconds[count]/nanoseconds[12], "times-12")
			b.ReportMetric(math.Log(float64(count))/math.Log(12), "log-times-12")
		})
	}
}
