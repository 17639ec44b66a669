package custodian_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/kernel"
)

// After a loss of power the gateways listed no custodian for a while, and answered 404 for an accepted job
// that a custodian held.
func TestHeldJobIsNotFoundBeforeCustodiansAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		depositor := custodian.NewDepositor(kernel.NewDiscardCommon("gateway"), 2)

		_, complete := depositor.HasJob(t.Context(), "job", bookkeeper.Reader{})
		require.False(t, complete)

		// Without custodians in the deployment, jobs are not looked for at any.
		time.Sleep(10 * time.Second)

		_, complete = depositor.HasJob(t.Context(), "job", bookkeeper.Reader{})
		require.True(t, complete)
	})
}
