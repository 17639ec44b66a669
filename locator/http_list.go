package locator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// maxListBytes bounds the answer of the platform.
const maxListBytes = 8 << 20

// HTTPList reads the list as JSON over HTTP.
type HTTPList struct {
	Address string
	Client  *http.Client
}

var _ List = (*HTTPList)(nil)

func init() {
	Adapters.Register("http", func(_ kernel.Common, address string) (List, error) {
		return NewHTTPList(address), nil
	})
}

// NewHTTPList returns a list at the address, a host and port.
func NewHTTPList(address string) *HTTPList {
	return &HTTPList{Address: address, Client: &http.Client{}}
}

// Instances implements List.
func (list *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+list.Address+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}

	response, err := list.Client.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "reading the instance list")
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance list answered %s", response.Status)
	}

	instances := []Instance{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances)

	return instances, errors.Annotate(err, "decoding the instance list")
}
