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

// maxListBytes bounds the answer of the platform.
const maxListBytes = 8 << 20

// listTimeout ends a read whose connection went silent.
const listTimeout = 5 * time.Second

// HTTPList reads the list as JSON over HTTP. It asks for the list only if it
// changed (If-None-Match), so that an unchanged list of a large fleet costs a
// few hundred bytes; the transport asks for gzip by itself.
type HTTPList struct {
	Address string
	Client  *http.Client

	mutex sync.Mutex
	// tag and last belong to the same answer.
	tag  string
	last []Instance
}

var _ List = (*HTTPList)(nil)

func init() {
	Adapters.Register("http", func(_ kernel.Common, address string) (List, error) {
		return NewHTTPList(address), nil
	})
}

// NewHTTPList returns a list at the address, a host and port.
func NewHTTPList(address string) *HTTPList {
	return &HTTPList{Address: address, Client: &http.Client{Transport: &http.Transport{}, Timeout: listTimeout}}
}

// Instances implements List. Callers leave the slice as it is.
func (list *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	list.mutex.Lock()
	defer list.mutex.Unlock()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+list.Address+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if list.tag != "" {
		request.Header.Set("If-None-Match", list.tag)
	}

	response, err := list.Client.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "reading the instance list")
	}
	defer response.Body.Close()

	switch response.StatusCode {
	case http.StatusNotModified:
		return list.last, nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("instance list answered %s", response.Status)
	}

	instances := []Instance{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances); err != nil {
		return nil, errors.Annotate(err, "decoding the instance list")
	}

	list.tag, list.last = response.Header.Get("ETag"), instances

	return instances, nil
}
