package emulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServiceServesCallsBesideItsSwitches(t *testing.T) {
	service := NewService()

	for _, path := range []string{"/orders", "/faults"} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(`{}`))
		request.Header.Set("X-Request-Id", "id")

		answer := httptest.NewRecorder()
		service.ServeHTTP(answer, request)
		require.Equal(t, http.StatusOK, answer.Code)
	}

	require.Equal(t, map[string]int{"id": 1}, service.Acts())
}
