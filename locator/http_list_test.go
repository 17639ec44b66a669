package locator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/locator"
)

func TestUnchangedListIsServedFromCache(t *testing.T) {
	emulated := emulator.NewInstanceList(locator.Instance{Name: "sidecar-1"})
	statuses := []int{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorded := httptest.NewRecorder()
		emulated.ServeHTTP(recorded, request)
		statuses = append(statuses, recorded.Code)

		for name, values := range recorded.Header() {
			writer.Header()[name] = values
		}

		writer.WriteHeader(recorded.Code)
		_, _ = writer.Write(recorded.Body.Bytes())
	}))
	t.Cleanup(server.Close)

	list := locator.NewHTTPList(server.Listener.Addr().String())
	listNames := func() []string {
		instances, err := list.Instances(t.Context())
		require.NoError(t, err)

		names := []string{}
		for _, instance := range instances {
			names = append(names, instance.Name)
		}

		return names
	}

	require.Equal(t, []string{"sidecar-1"}, listNames())
	require.Equal(t, []string{"sidecar-1"}, listNames())
	emulated.Set(locator.Instance{Name: "sidecar-1"}, locator.Instance{Name: "sidecar-2"})
	require.Equal(t, []string{"sidecar-1", "sidecar-2"}, listNames())
	require.Equal(t, []int{http.StatusOK, http.StatusNotModified, http.StatusOK}, statuses)

	emulated.Faults.Set(emulator.FaultSwitches{Outage: true})
	_, err := list.Instances(t.Context())
	require.Error(t, err)
}
