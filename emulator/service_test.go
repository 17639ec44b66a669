package emulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServiceServesCallsAndFaultSwitches(t *testing.T) {
	service := NewService()

	for _, path := range []string{"/orders", "/faults"} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(`{}`))
		request.Header.Set("X-Request-Id", "id")

		recorder := httptest.NewRecorder()
		service.ServeHTTP(recorder, request)
		require.Equal(t, http.StatusOK, recorder.Code)
	}

	require.Equal(t, map[string]int{"id": 1}, service.CallCounts())
}
