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

// recordRevisions records the revision that the entry uses, again and again until
// the context ends. An entry that has no document yet is skipped.
func (fleet *fleet) recordRevisions(ctx context.Context, history *checker.History, entry, address string) {
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

// revisionAt returns the revision of the entry's document, or 0 if the entry does
// not respond or has no document.
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

	configuration := presenter.Configuration{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&configuration) != nil {
		return 0
	}

	return uint64(configuration.Revision)
}

// A change is applied. Then, while the key-value service is down, a third of the
// entries are killed and restarted without any stored state. No entry may report a
// lower revision than before at any time.
func TestRevisionNeverDecreasesWhenEntriesRestartInAnOutage(t *testing.T) {
	fleet := newFleet(t, twoFirmDocument())
	entries := []string{"entry-1", "entry-2", "entry-3"}

	for _, entry := range entries {
		fleet.startEntry(entry)
	}

	history := checker.NewHistory()
	ctx, cancel := context.WithCancel(t.Context())
	observers := sync.WaitGroup{}
	observe := func(entry string) {
		address := fleet.addresses[entry]
		observers.Go(func() { fleet.recordRevisions(ctx, history, entry, address) })
	}

	t.Cleanup(func() {
		cancel()
		observers.Wait()
	})

	first := fleet.awaitConfiguration("entry-1", `"north"`)

	for _, entry := range entries {
		fleet.awaitConfiguration(entry, `"north"`)
		observe(entry)
	}

	apply := func(entry, share string) {
		changed := writeFile(t, "document.json", strings.Replace(first, `"Share":1`, `"Share":`+share, 1))

		require.Eventually(t, func() bool {
			_, code := fleet.runCommand("config", "apply", changed, "--entry", fleet.addresses[entry], "--operator", "olga")

			return code == 0
		}, waitTimeout, 100*time.Millisecond)
	}

	apply("entry-2", "2")
	fleet.awaitConfiguration("entry-1", `"Share":2`)
	fleet.awaitConfiguration("entry-3", `"Share":2`)

	fleet.setFaults("kv", emulator.FaultSwitches{Outage: true})
	fleet.signal("entry-1", syscall.SIGKILL)
	<-fleet.processes["entry-1"].exited

	fleet.instances = append([]locator.Instance{}, fleet.instances[1:]...)
	fleet.startEntry("entry-1")
	observe("entry-1")
	require.Equal(t, fleet.awaitConfiguration("entry-2", `"Share":2`), fleet.awaitConfiguration("entry-1", `"Share":2`))

	fleet.setFaults("kv", emulator.FaultSwitches{})

	first = fleet.awaitConfiguration("entry-1", `"Share":2`)
	first = strings.Replace(first, `"Share":2`, `"Share":1`, 1)
	apply("entry-1", "3")

	for _, entry := range entries {
		fleet.awaitConfiguration(entry, `"Share":3`)
	}

	cancel()
	observers.Wait()
	require.Positive(t, history.Count(checker.KindInForce))
	require.Empty(t, checker.Check(history, checker.DefaultBounds()))
}
