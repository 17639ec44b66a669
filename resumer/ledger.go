package resumer

import (
	"slices"
	"sync"
	"time"
)

const (
	// ledgerLifetime is longer than callers wait for a stream over all their attempts.
	ledgerLifetime = time.Minute
	// maxLedgerEntries bounds the memory of a ledger to a few megabytes.
	maxLedgerEntries = 32768
)

// Ledger holds the origins of streams by the ID of the call that brought their first event. It is
// safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	entries map[string]ledgerEntry
	// order holds the IDs in the order in which they were recorded, from first on; what is
	// before has been dropped.
	order []string
	first int
}

type ledgerEntry struct {
	origin     Origin
	recordedAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[string]ledgerEntry{}}
}

// Record records the origin of a stream. The first record of a stream stays.
func (ledger *Ledger) Record(id string, origin Origin) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()

	if _, known := ledger.entries[id]; known {
		return
	}

	now := time.Now()
	ledger.entries[id] = ledgerEntry{origin: origin, recordedAt: now}
	ledger.order = append(ledger.order, id)

	for len(ledger.entries) > maxLedgerEntries || now.Sub(ledger.entries[ledger.order[ledger.first]].recordedAt) > ledgerLifetime {
		delete(ledger.entries, ledger.order[ledger.first])
		ledger.first++
	}

	if ledger.first > maxLedgerEntries {
		ledger.order = append([]string{}, ledger.order[ledger.first:]...)
		ledger.first = 0
	}
}

// Versions returns the software versions at which streams of the service began within the period.
func (ledger *Ledger) Versions(service string, period time.Duration) map[string]bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()

	versions := map[string]bool{}

	for _, id := range slices.Backward(ledger.order[ledger.first:]) {
		entry := ledger.entries[id]
		if time.Since(entry.recordedAt) > period {
			break
		}

		if entry.origin.Service == service {
			versions[entry.origin.Software] = true
		}
	}

	return versions
}

// Find returns the origin of a stream and how long ago it was recorded, and false if it is not
// known.
func (ledger *Ledger) Find(id string) (Origin, time.Duration, bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()

	entry, known := ledger.entries[id]
	if !known {
		return Origin{}, 0, false
	}

	return entry.origin, time.Since(entry.recordedAt), true
}
