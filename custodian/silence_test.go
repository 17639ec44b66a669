package custodian_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/kernel"
)

// silentCustodians hold what they are sent, and answer nothing before a time.
type silentCustodians struct {
	// until is that time in Unix nanoseconds.
	until atomic.Int64
	held  sync.Map
}

// RoundTrip implements http.RoundTripper.
func (custodians *silentCustodians) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPost {
		custodians.held.Store(request.URL.Host, true)
	}

	select {
	case <-time.After(time.Until(time.Unix(0, custodians.until.Load()))):
	case <-request.Context().Done():
		return nil, errors.Trace(request.Context().Err())
	}

	recorder := httptest.NewRecorder()
	if _, held := custodians.held.Load(request.URL.Host); !held {
		recorder.Code = http.StatusNotFound
	}

	return recorder.Result(), nil
}

// All custodians are silent for a while and go on. A job that they held counted as not accepted, and
// as not found later.
func TestSilenceOfCustodiansLosesAJob(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				custodians := &silentCustodians{}
				custodians.until.Store(time.Now().Add(silence).UnixNano())

				depositor := custodian.NewDepositor(kernel.NewDiscardCommon("entry"), 2)
				depositor.Client = &http.Client{Transport: custodians}
				depositor.SetCustodians(map[string]string{"a": "a", "b": "b", "c": "c"})

				ctx, cancel := context.WithTimeout(t.Context(), 2100*time.Millisecond)
				defer cancel()

				require.Equal(t, bookkeeper.OK, depositor.Deposit(ctx, newJob("x")))

				custodians.until.Store(time.Now().Add(silence).UnixNano())
				found, _ := depositor.HasJob(t.Context(), "x", bookkeeper.Reader{})
				require.True(t, found)
			})
		})
	}
}
