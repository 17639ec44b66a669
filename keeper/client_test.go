package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

func newClient(store keeper.Store) *keeper.Client {
	return keeper.NewClient(kernel.NewDiscardCommon("test"), store, keeper.DefaultSettings())
}

func TestClientStopsCallsInOutageAndRecoversByProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		client := newClient(store)
		store.Faults.Set(emulator.FaultSwitches{Outage: true})

		for range client.Settings.Failures {
			_, err := client.Get(t.Context(), "key")
			require.Error(t, err)
			require.NotErrorIs(t, err, keeper.ErrUnavailable)
		}

		start := time.Now()
		_, outcome, err := client.CompareAndSwap(t.Context(), "key", 0, nil)
		require.ErrorIs(t, err, keeper.ErrUnavailable)
		require.Equal(t, keeper.WriteRefused, outcome)
		require.Zero(t, time.Since(start), "a stopped call returns at once")
		require.False(t, client.Available())

		store.Faults.Set(emulator.FaultSwitches{})
		time.Sleep(2 * client.Settings.FirstProbe)

		_, err = client.Get(t.Context(), "key")
		require.NoError(t, err)
		require.True(t, client.Available())
	})
}

func TestClientAppliesDeadlineToSilentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		client := newClient(store)
		store.Faults.Set(emulator.FaultSwitches{Silent: true})

		start := time.Now()
		_, outcome, err := client.CompareAndSwap(t.Context(), "key", 0, nil)
		require.Error(t, err)
		require.Equal(t, keeper.WriteUnknown, outcome)
		require.Equal(t, client.Settings.CallTimeout, time.Since(start))
	})
}

func TestBudgetReservesCallsForHigherPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 8

		budget := keeper.NewBudget(0.001, burst)
		allowed := map[keeper.Priority]int{}

		for _, priority := range []keeper.Priority{keeper.PriorityBackground, keeper.PriorityNormal, keeper.PriorityInteractive} {
			for {
				ctx, cancel := context.WithTimeout(keeper.WithPriority(t.Context(), priority), time.Millisecond)
				err := budget.Wait(ctx)
				cancel()

				if err != nil {
					break
				}

				allowed[priority]++
			}
		}

		require.Equal(t, map[keeper.Priority]int{
			keeper.PriorityBackground:  burst / 2,
			keeper.PriorityNormal:      burst / 4,
			keeper.PriorityInteractive: burst / 4,
		}, allowed)
	})
}

func TestWriteResolvesLostAnswers(t *testing.T) {
	for name, scenario := range map[string]struct {
		lostAnswers int
		existing    string
		outcome     keeper.WriteOutcome
		value       string
	}{
		"no answer lost":                       {outcome: keeper.WriteApplied, value: "mine"},
		"answer lost after taking effect":      {lostAnswers: 1, outcome: keeper.WriteApplied, value: "mine"},
		"both answers lost":                    {lostAnswers: 2, outcome: keeper.WriteApplied, value: "mine"},
		"another write was first":              {existing: "other", outcome: keeper.WriteRefused, value: "other"},
		"another write was first, answer lost": {existing: "other", lostAnswers: 1, outcome: keeper.WriteRefused, value: "other"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewStore()

				if scenario.existing != "" {
					_, _, err := store.CompareAndSwap(t.Context(), "key", 0, []byte(scenario.existing))
					require.NoError(t, err)
				}

				store.Faults.Set(emulator.FaultSwitches{DropAnswers: scenario.lostAnswers})

				_, outcome, err := keeper.WriteWithRetry(t.Context(), store, keeper.ConditionalWrite{
					Key:        "key",
					Value:      []byte("mine"),
					IsOwnWrite: func(value []byte) bool { return string(value) == "mine" },
				})
				require.NoError(t, err)
				require.Equal(t, scenario.outcome, outcome)

				entry, err := store.Get(t.Context(), "key")
				require.NoError(t, err)
				require.Equal(t, scenario.value, string(entry.Value))
			})
		})
	}
}

// answerLosingStore loses the answer of the first write and does not make any later
// one.
type answerLosingStore struct {
	*emulator.Store

	writes int
}

func (store *answerLosingStore) CompareAndSwap(ctx context.Context, key string, revision keeper.Revision, value []byte) (keeper.Entry, keeper.WriteOutcome, error) {
	store.writes++
	if store.writes > 1 {
		return keeper.Entry{}, keeper.WriteRefused, keeper.ErrUnavailable
	}

	_, _, err := store.Store.CompareAndSwap(ctx, key, revision, value)
	if err != nil {
		return keeper.Entry{}, keeper.WriteRefused, err
	}

	return keeper.Entry{}, keeper.WriteUnknown, keeper.ErrUnavailable
}

func TestWriteOutcomeIsUnknownAfterLostAnswerAndNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, outcome, err := keeper.WriteWithRetry(t.Context(), &answerLosingStore{Store: emulator.NewStore()}, keeper.ConditionalWrite{
			Key:        "key",
			Value:      []byte("mine"),
			IsOwnWrite: func(value []byte) bool { return string(value) == "mine" },
		})
		require.Error(t, err)
		require.Equal(t, keeper.WriteUnknown, outcome)
	})
}
