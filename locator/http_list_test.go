package locator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
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

// One odd instance made the list unreadable, so that entries went on with an old one.
func TestOddInstanceHidesNoOther(t *testing.T) {
	for name, odd := range map[string]string{
		"deeply nested":        `{"Name":"odd","Labels":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"another type":         `{"Name":"odd","Address":7}`,
		"a number too large":   `{"Name":"odd","Address":"10.0.0.9:80","Service":1e400}`,
		"port out of range":    `{"Name":"odd","Address":"10.0.0.9:65536"}`,
		"no port":              `{"Name":"odd","Address":"10.0.0.9"}`,
		"no name":              `{"Address":"10.0.0.9:80"}`,
		"a text with brackets": `"]}[{,\""`,
		"null":                 `null`,
		"a list":               `[1,[2]]`,
	} {
		t.Run(name, func(t *testing.T) {
			text := `[{"Name":"sidecar-1","Address":"10.0.0.1:80"},` + odd + `, {"Name":"sidecar-2","Address":"10.0.0.2:80"}]`

			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(text)) }))
			t.Cleanup(server.Close)

			instances, err := locator.NewHTTPList(server.Listener.Addr().String()).Instances(t.Context())
			require.NoError(t, err)
			require.Len(t, instances, 2)
			require.Equal(t, "sidecar-1", instances[0].Name)
			require.Equal(t, "sidecar-2", instances[1].Name)
		})
	}
}
