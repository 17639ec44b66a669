package deployer_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
)

// While a link is down no other one gets its port: requests would reach another deployment.
func TestPortOfACrashedLinkIsNotReused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "served") }))
	t.Cleanup(server.Close)

	target := strings.TrimPrefix(server.URL, "http://")
	link, err := deployer.NewLink(t.Context(), target)
	require.NoError(t, err)

	restarted := make(chan bool, 1)

	go func() { restarted <- link.Crash(t.Context(), time.Second) }()

	require.Eventually(t, func() bool {
		_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", link.Address)

		return errors.Is(err, syscall.ECONNREFUSED)
	}, 5*time.Second, time.Millisecond)

	for range 200 {
		other, err := deployer.NewLink(t.Context(), target)
		require.NoError(t, err)
		require.NotEqual(t, link.Address, other.Address)
	}

	require.True(t, <-restarted)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+link.Address, nil)
	require.NoError(t, err)

	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)

	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "served", string(body))
}
