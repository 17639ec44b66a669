package locator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

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

	// Log receives the instances that are left out; nil for none.
	Log logrus.FieldLogger

	mutex sync.Mutex
	// etag and cached are of the same answer.
	etag   string
	cached []Instance
}

var _ List = (*HTTPList)(nil)

func init() {
	Adapters.Register("http", func(common kernel.Common, address string) (List, error) {
		list := NewHTTPList(address)
		list.Log = common.ForPart("locator").Log

		return list, nil
	})
}

// NewHTTPList returns a reader of the list at the address, a host and port.
func NewHTTPList(address string) *HTTPList {
	return &HTTPList{Address: address, Client: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: kernel.MaxHeadBytes}, Timeout: requestTimeout}}
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

	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Annotate(err, "reading the instance list")
	}

	elements, err := splitArray(text)
	if err != nil {
		return nil, errors.Annotate(err, "decoding the instance list")
	}

	instances := make([]Instance, 0, len(elements))

	for _, element := range elements {
		instance, err := decodeInstance(element)
		if err != nil {
			list.logOdd(element, err)

			continue
		}

		instances = append(instances, instance)
	}

	list.etag, list.cached = response.Header.Get("ETag"), instances

	return instances, nil
}

// decodeInstance decodes one instance of the list. It rejects those that name nothing that can
// be reached, which other writers may leave there.
func decodeInstance(text []byte) (Instance, error) {
	instance := Instance{}
	if err := json.Unmarshal(text, &instance); err != nil {
		return Instance{}, errors.Trace(err)
	}

	if instance.Name == "" {
		return Instance{}, errors.NotValidf("instance without a name")
	}

	if instance.Address != "" {
		if err := kernel.CheckAddress(instance.Address); err != nil {
			return Instance{}, errors.Annotatef(err, "instance %s", instance.Name)
		}
	}

	return instance, nil
}

// maxLoggedBytes is how much of an odd instance is logged.
const maxLoggedBytes = 200

func (list *HTTPList) logOdd(text []byte, err error) {
	if list.Log != nil {
		list.Log.WithField("Instance", string(text[:min(len(text), maxLoggedBytes)])).WithError(err).Warn("Instance in the list cannot be used and is left out.")
	}
}
