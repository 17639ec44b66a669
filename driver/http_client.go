package driver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/kernel"
)

// newClient returns a client that sends each request at most once. Every request
// has a connection of its own: an idle one may have gone silent, or be closed while
// the request is sent, and then it is unknown whether the request ran. Redirections
// are returned as answers and not followed.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: kernel.MaxHeadBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// send posts the body. A NotProvisioned error means that no connection was opened
// and nothing was sent; after any other error the request may have run.
func (server *limitedServer) send(ctx context.Context, client *http.Client, address, path string, body []byte, header http.Header) (*http.Response, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, errors.NewNotProvisioned(nil, "path "+path+" does not begin with a slash")
	}

	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.NewNotProvisioned(err, "building the request")
	}
	// Without GetBody the transport cannot send the request a second time.
	request.GetBody = nil
	request.Header = header

	response, err := client.Do(request)

	switch {
	case err == nil && !kernel.IsFinalStatus(response.StatusCode):
		response.Body.Close()

		return nil, errors.NotValidf("answer with the status %03d", response.StatusCode)
	case err == nil:
		server.recordAnswer(response)

		return response, nil
	case connected.Load():
		return nil, errors.Trace(err)
	case errors.Is(err, syscall.ECONNREFUSED):
		// Nothing listens there: the server has ended, and its limit with it.
		server.Reset()
	}

	return nil, errors.NewNotProvisioned(err, "connecting")
}

// refuses reports whether connections to the address are refused.
func refuses(ctx context.Context, client *http.Client, address string) bool {
	dial := (&net.Dialer{}).DialContext
	if transport, ok := client.Transport.(*http.Transport); ok && transport.DialContext != nil {
		dial = transport.DialContext
	}

	return exchanger.Refuses(ctx, dial, address)
}
