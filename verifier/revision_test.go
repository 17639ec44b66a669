package verifier

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/checker"
	"limpetrail/emulator"
	"limpetrail/locator"
	"limpetrail/presenter"
)

// observe records the revision that the entry works by until the context ends.
// An entry that has no document yet works by none.
func (fleet *fleet) observe(ctx context.Context, history *checker.History, entry, address string) {
	for ctx.Err() == nil {
		if revision := revisionAt(ctx, address); revision > 0 {
			history.Add(checker.Event{Kind: checker.KindInForce, Process: entry, Revision: revision})
		}

		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// revisionAt returns 0 when there is no answer or no document.
func revisionAt(ctx context.Context, address string) uint64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+presenter.ConfigurationPath, nil)
	if err != nil {
		return 0
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()

	shown := presenter.Configuration{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&shown) != nil {
		return 0
	}

	return uint64(shown.Revision)
}

// A change is applied, then the key-value service is down while a third of the
// entries are killed and start again, knowing nothing. Every revision that any
// of them serves meanwhile is looked at.
func TestRevisionNeverFallsWhenAThirdRestartsInAnOutage(t *testing.T) {
	fleet := newFleet(t, configuredDocument())
	entries := []string{"entry-1", "entry-2", "entry-3"}

	for _, entry := range entries {
		fleet.entry(entry)
	}

	history := checker.NewHistory()
	ctx, cancel := context.WithCancel(t.Context())
	observers := sync.WaitGroup{}
	observe := func(entry string) {
		address := fleet.addresses[entry]
		observers.Go(func() { fleet.observe(ctx, history, entry, address) })
	}

	t.Cleanup(func() {
		cancel()
		observers.Wait()
	})

	first := fleet.shown("entry-1", `"north"`)

	for _, entry := range entries {
		fleet.shown(entry, `"north"`)
		observe(entry)
	}

	apply := func(entry, share string) {
		changed := writeFile(t, "document.json", strings.Replace(first, `"Share":1`, `"Share":`+share, 1))

		require.Eventually(t, func() bool {
			_, code := fleet.command("config", "apply", changed, "--entry", fleet.addresses[entry], "--operator", "olga")

			return code == 0
		}, patience, 100*time.Millisecond)
	}

	apply("entry-2", "2")
	fleet.shown("entry-1", `"Share":2`)
	fleet.shown("entry-3", `"Share":2`)

	fleet.faults("kv", emulator.FaultSwitches{Outage: true})
	fleet.signal("entry-1", syscall.SIGKILL)
	<-fleet.processes["entry-1"].ended

	fleet.instances = append([]locator.Instance{}, fleet.instances[1:]...)
	fleet.entry("entry-1")
	observe("entry-1")
	require.Equal(t, fleet.shown("entry-2", `"Share":2`), fleet.shown("entry-1", `"Share":2`))

	fleet.faults("kv", emulator.FaultSwitches{})

	first = fleet.shown("entry-1", `"Share":2`)
	first = strings.Replace(first, `"Share":2`, `"Share":1`, 1)
	apply("entry-1", "3")

	for _, entry := range entries {
		fleet.shown(entry, `"Share":3`)
	}

	cancel()
	observers.Wait()
	require.Positive(t, history.Count(checker.KindInForce))
	require.Empty(t, checker.Check(history, checker.DefaultBounds()))
}
