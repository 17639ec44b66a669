package resumer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/resumer"
)

// An entry that never saw a stream learns of it from a holder, over real sockets.
func TestOriginIsFoundAtAHolder(t *testing.T) {
	collector := resumer.NewCollector(kernel.NewDiscardCommon("holder-1"))
	server := httptest.NewServer(collector)

	defer server.Close()

	address := server.Listener.Addr().(*net.TCPAddr).String()
	ctx, stop := context.WithCancel(t.Context())

	defer stop()

	go func() { _ = collector.Run(ctx, address) }()

	origin := resumer.Origin{Service: "model", Software: "v1"}
	teller := resumer.NewResumer(kernel.NewDiscardCommon("entry-1"))
	teller.SetHolders(map[string]string{"holder-1": address})

	asker := resumer.NewResumer(kernel.NewDiscardCommon("entry-2"), resumer.WithSeeds([]string{address}))

	require.Eventually(t, func() bool {
		// The socket may not be open yet, and datagrams get lost.
		teller.Record("first", origin)

		found, err := asker.Find(t.Context(), "first")

		return err == nil && found == origin
	}, 10*time.Second, 20*time.Millisecond)

	_, err := asker.Find(t.Context(), "another")
	require.ErrorIs(t, err, errors.NotFound)

	server.Close()

	_, err = asker.Find(t.Context(), "another")
	require.Error(t, err)
	require.NotErrorIs(t, err, errors.NotFound, "a holder that does not answer may know")
}

// Records of other programs and faulty entries are dropped.
func TestUnreadableRecordsAreDropped(t *testing.T) {
	collector := resumer.NewCollector(kernel.NewDiscardCommon("holder-1"))

	for _, datagram := range []string{
		``, `{`, `[]`, `7`, "\x00\xff", `{"Service":"model","Software":"v1"}`, `{"ID":7}`, `{"ID":"x","Software":["v1"]}`,
		`{"ID":"` + strings.Repeat("x", 300) + `"}`, `{"ID":"x","Software":"` + strings.Repeat("v", 300) + `"}`,
	} {
		collector.Collect([]byte(datagram))
	}

	recorder := httptest.NewRecorder()
	collector.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, resumer.Path+"?id=x", nil))
	require.Equal(t, http.StatusNotFound, recorder.Code)
}
