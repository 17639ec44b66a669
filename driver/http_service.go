package driver

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

	"limpetrail/exchanger"
	"limpetrail/kernel"
)

// maxServiceAnswerBytes bounds the body of a plain service's answer.
const maxServiceAnswerBytes = 16 << 20

// RequestIDHeader carries the request ID. It is deliberately not Idempotency-Key:
// net/http's transport may resend a request with that header on its own.
const RequestIDHeader = "X-Request-Id"

// HTTPService calls a plain service over HTTP.
type HTTPService struct {
	limitedServer

	Address string
	Client  *http.Client
}

var _ Service = (*HTTPService)(nil)

func init() {
	ServiceAdapters.Register("http", func(common kernel.Common, address string) (Service, error) {
		service := NewHTTPService(address)
		service.log = common.ForPart("driver").Log

		return service, nil
	})
}

// NewHTTPService returns a client of the plain service at the address (host:port).
func NewHTTPService(address string) *HTTPService {
	return &HTTPService{Address: address, Client: newClient()}
}

// Call implements Service. The caller has a reservation.
func (service *HTTPService) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	writing, write := kernel.TraceRequestWrite(ctx)

	response, err := service.send(writing, service.Client, service.Address, call.Path, call.Body, http.Header{
		"Content-Type":  {call.ContentType},
		RequestIDHeader: {call.RequestID},
	})
	if err != nil {
		return ServiceAnswer{}, errors.Annotate(err, "calling the service")
	}
	defer response.Body.Close()

	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return ServiceAnswer{}, errors.Annotate(err, "reading the service's answer")
	}

	// The client may receive the reset of a connection while it writes, and then reads a clean end.
	if !exchanger.IsFramed(response) {
		if err := write.Confirm(ctx); err != nil {
			return ServiceAnswer{}, errors.Annotate(err, "the service's answer does not mark its end")
		}
	}

	// A service that stops right after the head of such an answer leaves no other sign.
	if !exchanger.IsFramed(response) && (len(body) == 0 || refuses(ctx, service.Client, service.Address)) {
		return ServiceAnswer{}, errors.Annotate(io.ErrUnexpectedEOF, "the service ended with an answer that does not mark its end")
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
