package emulator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
)

func TestWeightStoreIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := emulator.NewWeightStore()
		get := func() *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			weights.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/weights/forecast-v1", nil))

			return recorder
		}

		require.Equal(t, http.StatusOK, get().Code)

		refused := get()
		require.Equal(t, http.StatusTooManyRequests, refused.Code)
		require.Equal(t, "2", refused.Header().Get("Retry-After"))

		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusOK, get().Code)
	})
}
