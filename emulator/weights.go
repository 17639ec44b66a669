package emulator

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	weightsPerMinute = 30
	secondsAMinute   = 60
)

// Weights stands in for the platform's rate-limited weight store, which engines
// read from when they load. No process of the system calls it; its rate is the
// planner's setting LoadsPerMinute.
type Weights struct {
	Faults *Faults

	limiter *rate.Limiter
	mux     *http.ServeMux
}

var _ http.Handler = (*Weights)(nil)

// NewWeights returns a store that gives out 30 sets of weights a minute.
func NewWeights() *Weights {
	weights := &Weights{
		Faults:  NewFaults(),
		limiter: rate.NewLimiter(rate.Limit(float64(weightsPerMinute)/secondsAMinute), 1),
		mux:     http.NewServeMux(),
	}
	weights.mux.Handle("/faults", weights.Faults)
	weights.mux.HandleFunc("GET /v1/weights/{name}", weights.get)

	return weights
}

// ServeHTTP implements http.Handler.
func (weights *Weights) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	weights.mux.ServeHTTP(writer, request)
}

func (weights *Weights) get(writer http.ResponseWriter, request *http.Request) {
	if !weights.Faults.Wait(request.Context().Done()) {
		refuse(writer, errOutage)

		return
	}

	reservation := weights.limiter.ReserveN(time.Now(), 1)
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
		http.Error(writer, "more than the store's rate", http.StatusTooManyRequests)

		return
	}

	writeJSON(writer, map[string]string{"Name": request.PathValue("name")})
}
