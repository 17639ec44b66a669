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
	// before runs before the tested request and after the first ones, which
	// fill the connection pool and the cache of incarnations.
	before func(fleet *fleet)
	// during runs before the event with index 10 of the tested request.
	during   func(fleet *fleet)
	wantFate classifier.Fate
	// wantStarts is how often the backend servers start the request.
	wantStarts  int
	maxDuration time.Duration
}

func TestOutcomeIsCorrectWhenSidecarsFail(t *testing.T) {
	tests := []fateTest{
		{
			name: "plain call moves from a replica that refuses connections", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before:   func(fleet *fleet) { fleet.kill("replica-1"); fleet.kill("replica-2"); fleet.start("replica-2") },
			wantFate: classifier.Answered, wantStarts: 1, maxDuration: time.Second,
		},
		{
			name: "plain call after a restart of the only sidecar", service: plainService,
			replicas: []string{"replica-1"},
			before:   func(fleet *fleet) { fleet.kill("replica-1"); fleet.start("replica-1") },
			wantFate: classifier.Answered, wantStarts: 1, maxDuration: time.Second,
		},
		{
			name: "plain call without any sidecar was not run", service: plainService,
			replicas: []string{"replica-1"},
			before:   func(fleet *fleet) { fleet.kill("replica-1") },
			wantFate: classifier.NotRun, wantStarts: 0, maxDuration: time.Second,
		},
		{
			name: "plain call to a stopped sidecar over silent connections was not run", service: plainService,
			replicas: []string{"replica-1"},
			before: func(fleet *fleet) {
				fleet.network.DropTraffic(true, true)
				fleet.stopSidecar["replica-1"]()
				synctest.Wait()
			},
			wantFate: classifier.NotRun, wantStarts: 0, maxDuration: time.Second,
		},
		{
			name: "plain call moves from a draining sidecar", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before:   func(fleet *fleet) { fleet.executors["replica-1"].Drain() },
			wantFate: classifier.Answered, wantStarts: 1, maxDuration: time.Second,
		},
		{
			name: "plain call moves from a failed backend server", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before: func(fleet *fleet) {
				fleet.services["replica-1"].Faults.Set(emulator.FaultSwitches{Outage: true})
			},
			wantFate: classifier.Answered, wantStarts: 1, maxDuration: time.Second,
		},
		{
			name: "plain call whose answer was lost is not repeated", service: plainService,
			replicas: []string{"replica-1", "replica-2"},
			before: func(fleet *fleet) {
				fleet.services["replica-1"].Faults.Set(emulator.FaultSwitches{DropAnswers: 9})
				fleet.services["replica-2"].Faults.Set(emulator.FaultSwitches{DropAnswers: 9})
			},
			wantFate: classifier.MayHaveRun, wantStarts: 1, maxDuration: time.Second,
		},
		{
			name: "another replica continues the answer after a kill", service: modelService, idempotent: true,
			replicas: []string{"replica-1", "replica-2"},
			during:   func(fleet *fleet) { fleet.kill(fleet.busyReplica()) },
			wantFate: classifier.Answered, wantStarts: 2, maxDuration: 5 * time.Second,
		},
		{
			name: "killed sidecar and refusals by the others may have run", service: modelService, idempotent: true,
			replicas: []string{"replica-1", "replica-2"},
			during: func(fleet *fleet) {
				fleet.kill(fleet.busyReplica())
				fleet.executors["replica-1"].Drain()
				fleet.executors["replica-2"].Drain()
			},
			wantFate: classifier.MayHaveRun, wantStarts: 1, maxDuration: 5 * time.Second,
		},
		{
			name: "killed only sidecar may have run", service: modelService,
			replicas: []string{"replica-1"},
			during:   func(fleet *fleet) { fleet.kill("replica-1") },
			wantFate: classifier.MayHaveRun, wantStarts: 1, maxDuration: 5 * time.Second,
		},
		{
			name: "sidecar restarted during the answer may have run", service: modelService,
			replicas: []string{"replica-1", "replica-2"},
			during: func(fleet *fleet) {
				fleet.kill("replica-1")
				fleet.start("replica-1")
				fleet.kill("replica-2")
				fleet.start("replica-2")
			},
			wantFate: classifier.MayHaveRun, wantStarts: 1, maxDuration: 5 * time.Second,
		},
		{
			name: "draining sidecar completes a running answer", service: modelService,
			replicas: []string{"replica-1"},
			during:   func(fleet *fleet) { fleet.executors["replica-1"].Drain() },
			wantFate: classifier.Answered, wantStarts: 1, maxDuration: 5 * time.Second,
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
		fleet.addReplica(name, test.service)
	}

	for range 8 {
		first := fleet.dispatcher.Do(t.Context(), fleet.newCall(test.service, true), &sink{})
		require.Equal(t, classifier.Answered, first.Fate, first.Reason)
	}

	if test.before != nil {
		test.before(fleet)
	}

	tested := &sink{beforeEvent: map[int]func(){}}
	if test.during != nil {
		tested.beforeEvent[10] = func() { test.during(fleet) }
	}

	call := fleet.newCall(test.service, test.idempotent)
	started := time.Now()
	outcome := fleet.dispatcher.Do(t.Context(), call, tested)

	require.Equal(t, test.wantFate, outcome.Fate, outcome.Reason)
	require.Less(t, time.Since(started), test.maxDuration)

	if test.wantFate != classifier.Answered {
		require.Positive(t, outcome.RetryAfter)
	} else if test.service == modelService {
		require.Equal(t, completeAnswer(), tested.text.String())

		_, replica, _ := dispatcher.SplitAttemptID(tested.end.AttemptID)
		require.Equal(t, 1, fleet.engines[replica].StartCount(tested.end.AttemptID))
	}

	time.Sleep(time.Minute)
	require.Equal(t, test.wantStarts, fleet.countStarts(call))
}

func TestDeadlineDeterminesFate(t *testing.T) {
	tests := []struct {
		name       string
		queued     bool
		callerLeft bool
		fate       classifier.Fate
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
				fleet.addReplica("replica-1", modelService)
				fleet.engines["replica-1"].Faults.Set(emulator.FaultSwitches{Silent: true})

				if test.queued {
					fleet.fillPlaces("replica-1")
				}

				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()

				call := fleet.newCall(modelService, true)
				if !test.callerLeft {
					call.Deadline = time.Now().Add(2 * time.Second)
					ctx = t.Context()
				}

				started := time.Now()
				outcome := fleet.dispatcher.Do(ctx, call, &sink{})

				require.Equal(t, test.fate, outcome.Fate, outcome.Reason)
				require.Less(t, time.Since(started), 3*time.Second)

				fleet.engines["replica-1"].Faults.Set(emulator.FaultSwitches{})
				time.Sleep(time.Minute)

				if test.queued {
					require.Zero(t, fleet.countStarts(call))
				}
			})
		})
	}
}

// fillPlaces acquires every place at the sidecar.
func (fleet *fleet) fillPlaces(name string) {
	sidecar := fleet.executors[name]
	for range 64 {
		_, err := sidecar.Submit(&messenger.ExecuteRequest{
			RequestId:       dispatcher.NewRequestID(),
			Incarnation:     sidecar.Incarnation,
			Body:            []byte(requestBody),
			RemainingMicros: uint64((10 * time.Second).Microseconds()),
		})
		require.NoError(fleet.t, err)
	}

	synctest.Wait()
}

func TestNoAttemptIsSentWithoutPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", plainService)
		fleet.addReplica("replica-2", plainService)

		targets := []dispatcher.Target{}
		call := fleet.newCall(plainService, false)
		call.Permit = func(_ context.Context, target dispatcher.Target) error {
			targets = append(targets, target)

			return errors.New("another entry holds the claim")
		}

		outcome := fleet.dispatcher.Do(t.Context(), call, &sink{})
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Len(t, targets, 1)
		require.NotZero(t, targets[0].Incarnation)
		require.Zero(t, fleet.countStarts(call))
	})
}

// failingSidecar sends the whole answer and fails before its last frame.
type failingSidecar struct {
	messenger.DRPCSidecarUnimplementedServer
}

func (*failingSidecar) Hello(context.Context, *messenger.HelloRequest) (*messenger.HelloReply, error) {
	return &messenger.HelloReply{Incarnation: 7}, nil
}

func (*failingSidecar) Execute(request *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	events := [][]byte{}
	for index := range tokenCount {
		events = append(events, []byte(emulator.TokenText(emulator.AnswerSeed(request.GetBody()), index)))
	}

	if err := stream.Send(&messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_DATA, Events: events, Complete: true}); err != nil {
		return err
	}

	return errors.New("sidecar failed")
}

func TestAnswerIsNotExtendedWhenLastFrameIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", modelService)
		fleet.kill("replica-1")

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		fleet.serve(ctx, "replica-1", &fakeSidecarService{server: &failingSidecar{}})
		fleet.addReplica("replica-2", modelService)
		fleet.dispatcher.Router.ApplyLoad("replica-2", router.Load{Draining: true})

		answer := &sink{beforeEvent: map[int]func(){0: func() { fleet.dispatcher.Router.ApplyLoad("replica-2", router.Load{}) }}}
		outcome := fleet.dispatcher.Do(t.Context(), fleet.newCall(modelService, true), answer)

		require.Equal(t, classifier.Answered, outcome.Fate, outcome.Reason)
		require.Equal(t, completeAnswer(), answer.text.String())
	})
}

func TestDrainingReplicaReceivesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", plainService)
		fleet.addReplica("replica-2", plainService)

		for range 8 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(plainService, false), &sink{}).Fate)
		}

		calls := len(fleet.services["replica-1"].CallCounts())
		require.Positive(t, calls)

		fleet.executors["replica-1"].Drain()

		for range 50 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(plainService, false), &sink{}).Fate)
		}

		require.Len(t, fleet.services["replica-1"].CallCounts(), calls)
		// One refusal is enough: its frame reports that the sidecar drains.
		require.Equal(t, 1, fleet.countEvents(recorder.KindRetried))
	})
}

func TestUnreachableReplicaIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, nil)
		fleet.addReplica("replica-1", plainService)
		fleet.addReplica("replica-2", plainService)

		for range 8 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(plainService, false), &sink{}).Fate)
		}

		// The instance list still contains the replica.
		fleet.kill("replica-1")

		before := fleet.network.DialCount("replica-1")

		for range 100 {
			require.Equal(t, classifier.Answered, fleet.dispatcher.Do(t.Context(), fleet.newCall(plainService, false), &sink{}).Fate)
		}

		// Some failures in a row eject it, and the clock doesn't reach the time at
		// which it would be probed again.
		require.Less(t, fleet.network.DialCount("replica-1")-before, 10)
		require.Equal(t, 1, fleet.countEvents(recorder.KindEjected))
	})
}
