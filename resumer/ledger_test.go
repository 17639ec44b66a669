package resumer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/resumer"
)

// The records are bounded in number and time. The first record of a stream stays.
func TestLedgerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 32768

		ledger := resumer.NewLedger()
		ledger.Record("first", resumer.Origin{Service: "model", Software: "v1"})
		ledger.Record("first", resumer.Origin{Service: "model", Software: "v2"})

		origin, _, known := ledger.Find("first")
		require.True(t, known)
		require.Equal(t, "v1", origin.Software)

		for number := range 3 * most {
			ledger.Record(fmt.Sprint(number), origin)
		}

		known = false
		for number := range 2 * most {
			_, _, found := ledger.Find(fmt.Sprint(number))
			known = known || found
		}

		require.False(t, known, "the oldest are dropped")

		_, _, known = ledger.Find(fmt.Sprint(3*most - 1))
		require.True(t, known)

		time.Sleep(2 * time.Minute)
		ledger.Record("later", origin)

		_, _, known = ledger.Find(fmt.Sprint(3*most - 1))
		require.False(t, known, "old records are dropped")
	})
}
