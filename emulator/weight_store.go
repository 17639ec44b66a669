package emulator

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	loadsPerMinute   = 30
	secondsPerMinute = 60
)

// WeightStore emulates the platform's rate-limited weight store, from which engines load
// models. No process of the system calls it; its rate matches the planner's setting
// LoadsPerMinute.
type WeightStore struct {
	Faults *Faults

	limiter *rate.Limiter
	mux     *http.ServeMux
}

var _ http.Handler = (*WeightStore)(nil)

// NewWeightStore returns a store that serves 30 sets of weights per minute.
func NewWeightStore() *WeightStore {
	store := &WeightStore{
		Faults:  NewFaults(),
		limiter: rate.NewLimiter(rate.Limit(float64(loadsPerMinute)/secondsPerMinute), 1),
		mux:     http.NewServeMux(),
	}
	store.mux.Handle("/faults", store.Faults)
	store.mux.HandleFunc("GET /v1/weights/{name}", store.get)

	return store
}

// ServeHTTP implements http.Handler.
func (store *WeightStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mux.ServeHTTP(writer, request)
}

func (store *WeightStore) get(writer http.ResponseWriter, request *http.Request) {
	if !store.Faults.Apply(request.Context().Done()) {
		writeError(writer, errOutage)

		return
	}

	reservation := store.limiter.ReserveN(time.Now(), 1)
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
		http.Error(writer, "more than the store's rate", http.StatusTooManyRequests)

		return
	}

	writeJSON(writer, map[string]string{"Name": request.PathValue("name")})
}
