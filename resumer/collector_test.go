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

// An entry that has just started serves before it knows the members. Its streams are told too.
func TestStreamBeforeTheMembersAreKnownIsNotTold(t *testing.T) {
	told := map[string]int{}
	starting := resumer.NewResumer(kernel.NewDiscardCommon("entry-1"), resumer.WithSeeds([]string{"a:1", "b:1", "c:1"}),
		resumer.WithSend(func(address string, _ []byte) error {
			told[address]++

			return nil
		}))

	starting.Record("first", resumer.Origin{Service: "model", Software: "v1"})
	require.Len(t, told, 2)

	starting.SetHolders(map[string]string{"holder-9": "z:1"})
	starting.Record("second", resumer.Origin{Service: "model", Software: "v1"})
	require.Equal(t, 1, told["z:1"])
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
