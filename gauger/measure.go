package gauger

import "time"

const (
	// maxMeasures bounds the measures of a report and maxSamples the samples of a measure, so
	// that a report grows by at most about 1 KB.
	maxMeasures = 4
	maxSamples  = 4
	// maxSampleCount bounds the events of one sample that a peer reports.
	maxSampleCount = 10_000
	// maxSampleTime bounds the mean time of a sample that a peer reports.
	maxSampleTime = time.Minute
)

// Measure is what one entry measured at a start of a backend server since its last measure of
// it. Measures are sums and not estimates: receivers add them up, a lost one only loses its
// events, and no state is kept for each peer. The names on the wire are short, as bytes between
// data centres are the highest cost of a fleet.
type Measure struct {
	ID          string   `json:"i"`
	Incarnation int64    `json:"s"`
	Samples     []Sample `json:"m,omitempty"`
	// Runs counts the complete responses, whose run times add up to RunMicros.
	Runs      int   `json:"r,omitempty"`
	RunMicros int64 `json:"t,omitempty"`
}

// Sample sums up the events that arrived while a number of requests ran at the server.
type Sample struct {
	Running int `json:"n"`
	// Events counts the events after the first, whose gaps add up to GapMicros.
	Events    int   `json:"e,omitempty"`
	GapMicros int64 `json:"g,omitempty"`
	// Firsts counts the first events, whose times since the request was sent add up to FirstMicros.
	Firsts      int   `json:"f,omitempty"`
	FirstMicros int64 `json:"d,omitempty"`
}

// isValid reports whether a sample that a peer reports can be added up.
func (sample *Sample) isValid() bool {
	return isValidSum(sample.Events, sample.GapMicros) && isValidSum(sample.Firsts, sample.FirstMicros)
}

func isValidSum(count int, micros int64) bool {
	return count >= 0 && count <= maxSampleCount && micros >= 0 && micros <= int64(count)*maxSampleTime.Microseconds()
}

// add adds another sample of the same number of requests.
func (sample *Sample) add(other Sample) {
	sample.Events += other.Events
	sample.GapMicros += other.GapMicros
	sample.Firsts += other.Firsts
	sample.FirstMicros += other.FirstMicros
}

func (sample *Sample) isEmpty() bool {
	return sample.Events == 0 && sample.Firsts == 0
}
