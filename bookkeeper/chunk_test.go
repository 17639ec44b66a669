package bookkeeper_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
)

// Values were bounded before they were encoded: an item of 900,000 bytes, or results that JSON
// makes six times as long, got a value that the key-value service rejects for ever.
func TestValuesAreBoundedAsEncoded(t *testing.T) {
	for name, items := range map[string][]bookkeeper.Item{
		"one long body":     {{ID: "a", Target: "/x", Body: bytes.Repeat([]byte{7}, 900_000)}},
		"the longest body":  {{ID: "a", Target: "/x", Body: bytes.Repeat([]byte{7}, 3_100_000)}},
		"a long header":     {{ID: "a", Target: "/x", Header: map[string]string{"h": strings.Repeat("<", 200_000)}}},
		"long and short":    {{ID: "a", Target: "/x"}, {ID: "b", Target: "/x", Body: make([]byte, 900_000)}, {ID: "c", Target: "/x"}, {ID: "d", Target: "/x", Body: make([]byte, 700_000)}},
		"many of some size": manyItems(200, 15_000),
	} {
		for _, limit := range []int{1 << 20, 512 << 10} {
			t.Run(fmt.Sprintf("%s, values of %d bytes", name, limit), func(t *testing.T) {
				ledger, catalog := newLedger()
				ledger.Client.Settings.ValueBytes = limit
				catalog.SetValueBytes(limit)

				_, outcome, err := ledger.Create(t.Context(), bookkeeper.Job{ID: "job", Items: items}, bookkeeper.Head{Total: len(items)})
				require.NoError(t, err)
				require.Equal(t, bookkeeper.OK, outcome)

				stored, err := ledger.Items(t.Context(), "job")
				require.NoError(t, err)
				require.Equal(t, items, stored)
			})
		}
	}
}

func manyItems(count, size int) []bookkeeper.Item {
	items := []bookkeeper.Item{}
	for number := range count {
		items = append(items, bookkeeper.Item{ID: fmt.Sprint(number), Target: "/x", Body: bytes.Repeat([]byte{byte(number)}, size)})
	}

	return items
}

// A job that cannot be stored is rejected before it is accepted, with a remedy.
func TestJobThatCannotBeStoredIsRejected(t *testing.T) {
	ledger, catalog := newLedger()

	_, outcome, err := ledger.Create(t.Context(), bookkeeper.Job{ID: "job", Items: manyItems(1, 16<<20)}, bookkeeper.Head{Total: 1})
	require.Equal(t, bookkeeper.Rejected, outcome)
	require.ErrorContains(t, err, "items: give at most")

	// The service says so itself.
	catalog.SetValueBytes(1000)

	_, outcome, err = ledger.Create(t.Context(), bookkeeper.Job{ID: "job", Items: manyItems(1, 2000)}, bookkeeper.Head{Total: 1})
	require.Equal(t, bookkeeper.Rejected, outcome)
	require.ErrorContains(t, err, "rejects the call")
}
