package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// maxServiceAnswerBytes bounds the body of a plain service's answer.
const maxServiceAnswerBytes = 16 << 20

// RequestIDHeader carries the request ID. It is deliberately not
// Idempotency-Key: net/http's transport takes that header as leave to send a
// request again on its own.
const RequestIDHeader = "X-Request-Id"

// HTTPService calls a plain service over HTTP.
type HTTPService struct {
	Address string
	Client  *http.Client
}

var _ Service = (*HTTPService)(nil)

func init() {
	ServiceAdapters.Register("http", func(_ kernel.Common, address string) (Service, error) {
		return NewHTTPService(address), nil
	})
}

// NewHTTPService returns a service at the address, a host and port.
func NewHTTPService(address string) *HTTPService {
	return &HTTPService{Address: address, Client: &http.Client{Transport: &http.Transport{}}}
}

// Call implements Service.
func (service *HTTPService) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+service.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceAnswer{}, errors.NewNotProvisioned(err, "building the call")
	}
	// Without GetBody the transport cannot send the call a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(RequestIDHeader, call.RequestID)

	response, err := service.Client.Do(request)
	if err != nil && !connected {
		return ServiceAnswer{}, errors.NewNotProvisioned(err, "connecting to the service")
	}

	if err != nil {
		return ServiceAnswer{}, errors.Annotate(err, "calling the service")
	}
	defer response.Body.Close()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return ServiceAnswer{}, errors.Annotate(err, "reading the service's answer")
	}

	if len(body) > maxServiceAnswerBytes {
		return ServiceAnswer{}, errors.NotValidf("answer of more than %d bytes", maxServiceAnswerBytes)
	}

	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
