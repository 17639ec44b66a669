package locator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// maxResponseBytes bounds the size of the list.
const maxResponseBytes = 8 << 20

// requestTimeout ends a request whose connection has gone silent.
const requestTimeout = 5 * time.Second

// HTTPList reads the list as JSON over HTTP. It sends If-None-Match, so that an
// unchanged list of a large fleet costs a few hundred bytes; the transport requests
// gzip by itself.
type HTTPList struct {
	Address string
	Client  *http.Client

	mutex sync.Mutex
	// etag and cached are of the same answer.
	etag   string
	cached []Instance
}

var _ List = (*HTTPList)(nil)

func init() {
	Adapters.Register("http", func(_ kernel.Common, address string) (List, error) {
		return NewHTTPList(address), nil
	})
}

// NewHTTPList returns a reader of the list at the address, a host and port.
func NewHTTPList(address string) *HTTPList {
	return &HTTPList{Address: address, Client: &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}}
}

// Instances implements List. Callers must not change the slice.
func (list *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	list.mutex.Lock()
	defer list.mutex.Unlock()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+list.Address+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if list.etag != "" {
		request.Header.Set("If-None-Match", list.etag)
	}

	response, err := list.Client.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "reading the instance list")
	}
	defer response.Body.Close()

	switch response.StatusCode {
	case http.StatusNotModified:
		return list.cached, nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("reading the instance list: unexpected status %s", response.Status)
	}

	instances := []Instance{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&instances); err != nil {
		return nil, errors.Annotate(err, "decoding the instance list")
	}

	list.etag, list.cached = response.Header.Get("ETag"), instances

	return instances, nil
}
