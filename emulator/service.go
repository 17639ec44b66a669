package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"limpetrail/driver"
)

// Service emulates a plain service. It executes each call that reaches it and counts
// the calls by request ID, so that a test can detect a duplicate.
type Service struct {
	Faults *Faults

	mutex      sync.Mutex
	callCounts map[string]int
	mux        *http.ServeMux
}

var (
	_ driver.Service = (*Service)(nil)
	_ http.Handler   = (*Service)(nil)
)

// NewService returns a service that has executed no calls yet.
func NewService() *Service {
	service := &Service{Faults: NewFaults(), callCounts: map[string]int{}, mux: http.NewServeMux()}
	service.mux.Handle("GET /faults", service.Faults)
	service.mux.Handle("POST /faults", service.Faults)
	service.mux.HandleFunc("GET /acts", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, service.CallCounts())
	})
	service.mux.HandleFunc("POST /", service.serve)

	return service
}

// Call implements driver.Service.
func (service *Service) Call(ctx context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	if service.Faults.Get().Outage {
		return driver.ServiceAnswer{}, errors.NewNotProvisioned(errOutage, "")
	}

	total := service.recordCall(call.RequestID)

	if !service.Faults.Apply(ctx.Done()) || service.Faults.ConsumeDroppedAnswer() {
		return driver.ServiceAnswer{}, errors.Trace(errLost)
	}

	return driver.ServiceAnswer{
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        fmt.Appendf(nil, `{"Act":%d,"Bytes":%d}`, total, len(call.Body)),
	}, nil
}

// CallCounts returns how many calls the service executed, by request ID.
func (service *Service) CallCounts() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	counts := make(map[string]int, len(service.callCounts))
	for id, count := range service.callCounts {
		counts[id] = count
	}

	return counts
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.mux.ServeHTTP(writer, request)
}

// recordCall counts a call and returns the number of all calls.
func (service *Service) recordCall(id string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()

	service.callCounts[id]++

	total := 0
	for _, count := range service.callCounts {
		total += count
	}

	return total
}

func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}

	answer, err := service.Call(request.Context(), driver.ServiceCall{
		RequestID:   request.Header.Get(driver.RequestIDHeader),
		Path:        request.URL.Path,
		ContentType: request.Header.Get("Content-Type"),
		Body:        body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	writer.Header().Set("Content-Type", answer.ContentType)
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
}
