package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/emulator"
	"limpetrail/messenger"
	"limpetrail/recorder"
	"limpetrail/router"
)

type fateTest struct {
	name       string
	service    string
	idempotent bool
	replicas   []string
	// before acts between a first request, which fills the pool and
	// teaches the numbers, and the one that is judged.
	before func(fleet *fleet)
	// during acts before the tenth event.
	during func(fleet *fleet)
	fate   classifier.Fate
	// starts is how often the backend servers began the request.
	starts int
	within time.Duration
}

func TestFateIsTrueWhenSidecarsFail(t *testing.T) {
	tests := []fateTest{
		{
			name: "order moves from a replica that takes no connection", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before:   func(fleet *fleet) { fleet.kill("replica-1"); fleet.kill("replica-2"); fleet.start("replica-2") },
			fate:     classifier.Answered, starts: 1, within: time.Second,
		},
		{
			name: "order at the next start of its only sidecar", service: plainService,
			replicas: []string{"replica-1"},
			before:   func(fleet *fleet) { fleet.kill("replica-1"); fleet.start("replica-1") },
			fate:     classifier.Answered, starts: 1, within: time.Second,
		},
		{
			name: "order with no sidecar left was not run", service: plainService,
			replicas: []string{"replica-1"},
			before:   func(fleet *fleet) { fleet.kill("replica-1") },
			fate:     classifier.NotRun, starts: 0, within: time.Second,
		},
		{
			name: "order to a sidecar that vanished behind silent connections was not run", service: plainService,
			replicas: []string{"replica-1"},
			before: func(fleet *fleet) {
				fleet.network.Silence(true, true)
				fleet.stops["replica-1"]()
				synctest.Wait()
			},
			fate: classifier.NotRun, starts: 0, within: time.Second,
		},
		{
			name: "order moves from a draining sidecar", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before:   func(fleet *fleet) { fleet.executors["replica-1"].Drain() },
			fate:     classifier.Answered, starts: 1, within: time.Second,
		},
		{
			name: "order moves from a dead backend server", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before: func(fleet *fleet) {
				fleet.services["replica-1"].Faults.Set(emulator.Switches{Outage: true})
			},
			fate: classifier.Answered, starts: 1, within: time.Second,
		},
		{
			name: "order whose answer was lost is not repeated", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before: func(fleet *fleet) {
				fleet.services["replica-1"].Faults.Set(emulator.Switches{DropAnswers: 9})
				fleet.services["replica-2"].Faults.Set(emulator.Switches{DropAnswers: 9})
			},
			fate: classifier.MayHaveRun, starts: 1, within: time.Second,
		},
		{
			name: "answer goes on elsewhere after a kill", service: modelService, idempotent: true,
			replicas: []string{"replica-1", "replica-2"},
			during:   func(fleet *fleet) { fleet.kill(fleet.running()) },
			fate:     classifier.Answered, starts: 2, within: 5 * time.Second,
		},
		{
			name: "kill and then a refusal elsewhere may have run", service: modelService, idempotent: true,
			replicas: []string{"replica-1", "replica-2"},
			during: func(fleet *fleet) {
				fleet.kill(fleet.running())
				fleet.executors["replica-1"].Drain()
				fleet.executors["replica-2"].Drain()
			},
			fate: classifier.MayHaveRun, starts: 1, within: 5 * time.Second,
		},
		{
			name: "kill of the only sidecar may have run", service: modelService,
			replicas: []string{"replica-1"},
			during:   func(fleet *fleet) { fleet.kill("replica-1") },
			fate:     classifier.MayHaveRun, starts: 1, within: 5 * time.Second,
		},
		{
			name: "restart in the middle may have run", service: modelService,
			replicas: []string{"replica-1", "replica-2"},
			during: func(fleet *fleet) {
				fleet.kill("replica-1")
				fleet.start("replica-1")
				fleet.kill("replica-2")
				fleet.start("replica-2")
			},
			fate: classifier.MayHaveRun, starts: 1, within: 5 * time.Second,
		},
		{
			name: "draining lets the running answer end", service: modelService,
			replicas: []string{"replica-1"},
			during:   func(fleet *fleet) { fleet.executors["replica-1"].Drain() },
			fate:     classifier.Answered, starts: 1, within: 5 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

func (test fateTest) run(t *testing.T) {
	t.Helper()

	fleet := newFleet(t, nil)
	for _, name := range test.replicas {
		fleet.add(name, test.service)
	}

	for range 8 {
		first := fleet.dispatcher.Do(t.Context(), fleet.call(test.service, true), &sink{})
		require.Equal(t, classifier.Answered, first.Fate, first.Reason)
	}

	if test.before != nil {
		test.before(fleet)
	}

	judged := &sink{at: map[int]func(){}}
	if test.during != nil {
		judged.at[10] = func() { test.during(fleet) }
	}

	call := fleet.call(test.service, test.idempotent)
	begun := time.Now()
	outcome := fleet.dispatcher.Do(t.Context(), call, judged)

	require.Equal(t, test.fate, outcome.Fate, outcome.Reason)
	require.Less(t, time.Since(begun), test.within)

	if test.fate != classifier.Answered {
		require.Positive(t, outcome.RetryAfter)
	} else if test.service == modelService {
		require.Equal(t, wholeAnswer(), judged.text.String())

		_, replica, _ := dispatcher.SplitAttemptID(judged.end.AttemptID)
		require.Equal(t, 1, fleet.engines[replica].Starts(judged.end.AttemptID))
	}

	time.Sleep(time.Minute)
	require.Equal(t, test.starts, fleet.starts(call))
}

func TestDeadlineSettlesTheFate(t *testing.T) {
	tests := []struct {
		name   string
		queued bool
		left   bool
		fate   classifier.Fate
	}{
		{"running at the deadline", false, false, classifier.MayHaveRun},
		{"queued at the deadline", true, false, classifier.NotRun},
		{"queued when the caller left", true, true, classifier.NotRun},
		{"running when the caller left", false, true, classifier.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(t, nil)
				fleet.add("replica-1", modelService)
				fleet.engines["replica-1"].Faults.Set(emulator.Switches{Silent: true})

				if test.queued {
					fleet.fill("replica-1")
				}

				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()

				call := fleet.call(modelService, true)
				if !test.left {
					call.Deadline = time.Now().Add(2 * time.Second)
					ctx = t.Context()
				}

				begun := time.Now()
				outcome := fleet.dispatcher.Do(ctx, call, &sink{})

				require.Equal(t, test.fate, outcome.Fate, outcome.Reason)
				require.Less(t, time.Since(begun), 3*time.Second)

				fleet.engines["replica-1"].Faults.Set(emulator.Switches{})
				time.Sleep(time.Minute)

				if test.queued {
					require.Zero(t, fleet.starts(call))
				}
			})
		})
	}
}

// fill takes every place at the sidecar.
func (fleet *fleet) fill(name string) {
	sidecar := fleet.executors[name]
	for range 64 {
		_, err := sidecar.Submit(&messenger.ExecuteRequest{
			RequestId:       dispatcher.NewRequestID(),
			Incarnation:     sidecar.Incarnation,
			Body:            []byte(body),
			RemainingMicros: uint64((10 * time.Second).Microseconds()),
		})
		require.NoError(fleet.t, err)
	}

	synctest.Wait()
}

func TestNoAttemptLeavesWithoutPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", plainService)
		fleet.add("replica-2", plainService)

		targets := []dispatcher.Target{}
		call := fleet.call(plainService, false)
		call.Permit = func(_ context.Context, target dispatcher.Target) error {
			targets = append(targets, target)

			return errors.New("another entry has the claim")
		}

		outcome := fleet.dispatcher.Do(t.Context(), call, &sink{})
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Len(t, targets, 1)
		require.NotZero(t, targets[0].Incarnation)
		require.Zero(t, fleet.starts(call))
	})
}

// brokenSidecar gives the whole answer and then dies before its last frame.
type brokenSidecar struct {
	messenger.DRPCSidecarUnimplementedServer
}

func (*brokenSidecar) Hello(context.Context, *messenger.HelloRequest) (*messenger.HelloReply, error) {
	return &messenger.HelloReply{Incarnation: 7}, nil
}

func (*brokenSidecar) Execute(request *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	events := [][]byte{}
	for index := range tokens {
		events = append(events, []byte(emulator.TokenText(emulator.Seed(request.GetBody()), index)))
	}

	if err := stream.Send(&messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_DATA, Events: events, Complete: true}); err != nil {
		return err
	}

	return errors.New("died")
}

func TestAnswerIsNotLengthenedWhenItsLastFrameIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", modelService)
		fleet.kill("replica-1")

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		fleet.serve(ctx, "replica-1", &fakeService{server: &brokenSidecar{}})
		fleet.add("replica-2", modelService)
		fleet.dispatcher.Router.ApplyLoad("replica-2", router.Load{Draining: true})

		whole := &sink{at: map[int]func(){0: func() { fleet.dispatcher.Router.ApplyLoad("replica-2", router.Load{}) }}}
		outcome := fleet.dispatcher.Do(t.Context(), fleet.call(modelService, true), whole)

		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, wholeAnswer(), whole.text.String())
	})
}

func TestDrainingReplicaReceivesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", plainService)
		fleet.add("replica-2", plainService)

		for range 8 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(plainService, false), &sink{}).Fate)
		}

		acts := len(fleet.services["replica-1"].Acts())
		require.Positive(t, acts)

		fleet.executors["replica-1"].Drain()

		for range 50 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(plainService, false), &sink{}).Fate)
		}

		require.Len(t, fleet.services["replica-1"].Acts(), acts)
		// The first frame that says so is enough.
		require.Equal(t, 1, fleet.events(recorder.KindRetried))
	})
}

func TestGoneReplicaIsFoundByFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.add("replica-1", plainService)
		fleet.add("replica-2", plainService)

		for range 8 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(plainService, false), &sink{}).Fate)
		}

		// The instance list goes on naming it.
		fleet.kill("replica-1")

		before := fleet.network.Dials("replica-1")

		for range 100 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.call(plainService, false), &sink{}).Fate)
		}

		// Some failures in a row eject it, and no time passes for a trial.
		require.Less(t, fleet.network.Dials("replica-1")-before, 10)
		require.Equal(t, 1, fleet.events(recorder.KindEjected))
	})
}
