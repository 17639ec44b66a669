package bookkeeper_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

func newLedger() (bookkeeper.Ledger, *emulator.Catalog) {
	catalog := emulator.NewCatalog()

	return bookkeeper.Ledger{Client: keeper.NewCatalogClient(kernel.NewDiscardCommon("gateway"), catalog, keeper.DefaultSettings())}, catalog
}

// A job of 4 MB is read back unchanged, and each of its keys is within the key-value
// service's limit.
func TestLargeJobRoundTrip(t *testing.T) {
	ledger, catalog := newLedger()
	job := bookkeeper.Job{ID: "id with / and space", Submitted: time.Now()}

	for number := range 200 {
		job.Items = append(job.Items, bookkeeper.Item{ID: fmt.Sprint(number), Target: "/x", Body: bytes.Repeat([]byte{byte(number)}, 20_000)})
	}

	_, outcome, err := ledger.Create(t.Context(), job, bookkeeper.Head{Total: 200})
	require.NoError(t, err)
	require.Equal(t, bookkeeper.OK, outcome)

	items, err := ledger.Items(t.Context(), job.ID)
	require.NoError(t, err)
	require.Equal(t, job.Items, items)

	page, err := catalog.Range(t.Context(), bookkeeper.ItemsPrefix(job.ID), "", false)
	require.NoError(t, err)

	for _, item := range page.Items {
		require.Less(t, len(item.Value), keeper.MaxValueBytes)
	}
}

// Create does not change a job that exists, and Replace writes a head only while the
// stored one is the one that was read.
func TestReplaceFailsIfHeadChanged(t *testing.T) {
	ledger, _ := newLedger()

	first, outcome, err := ledger.Create(t.Context(), bookkeeper.Job{ID: "a"}, bookkeeper.Head{Owner: "x"})
	require.NoError(t, err)
	require.Equal(t, bookkeeper.OK, outcome)

	again, outcome, err := ledger.Create(t.Context(), bookkeeper.Job{ID: "a"}, bookkeeper.Head{Owner: "y"})
	require.NoError(t, err)
	require.Equal(t, bookkeeper.OK, outcome)
	require.Equal(t, first, again)

	second, applied, err := ledger.Replace(t.Context(), "a", first, bookkeeper.Head{Owner: "z"})
	require.NoError(t, err)
	require.True(t, applied)

	present, applied, err := ledger.Replace(t.Context(), "a", first, bookkeeper.Head{Owner: "late"})
	require.NoError(t, err)
	require.False(t, applied)
	require.Equal(t, second, present)
}

// A write that took effect is reported as applied even if its answer was lost.
func TestReplaceAfterLostAnswer(t *testing.T) {
	ledger, catalog := newLedger()

	first, _, err := ledger.Create(t.Context(), bookkeeper.Job{ID: "a"}, bookkeeper.Head{Owner: "x"})
	require.NoError(t, err)

	catalog.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})

	second, applied, err := ledger.Replace(t.Context(), "a", first, bookkeeper.Head{Owner: "y"})
	require.NoError(t, err)
	require.True(t, applied)
	require.Equal(t, "y", second.Owner)
}
