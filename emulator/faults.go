package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultSwitches are the faults that can be injected into an emulator.
type FaultSwitches struct {
	// Delay delays each call before it takes effect.
	Delay time.Duration
	// Outage makes every call fail without effect.
	Outage bool
	// DropAnswers is the number of further writes that take effect but whose answer is
	// lost.
	DropAnswers int
	// Freeze blocks every call until the fault is cleared or the caller leaves.
	Freeze bool
	// Silent accepts calls and leaves them unanswered. The emulators treat it like Freeze.
	Silent bool
	// IgnoreFence carries out orders with any fencing number.
	IgnoreFence bool
}

// Faults holds the injected faults of one emulator.
type Faults struct {
	mutex    sync.Mutex
	switches FaultSwitches
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewFaults returns Faults without any fault.
func NewFaults() *Faults {
	return &Faults{changed: make(chan struct{})}
}

// Set replaces all switches.
func (faults *Faults) Set(switches FaultSwitches) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	faults.switches = switches
	close(faults.changed)
	faults.changed = make(chan struct{})
}

// Get returns the switches.
func (faults *Faults) Get() FaultSwitches {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	return faults.switches
}

// ConsumeDroppedAnswer decrements DropAnswers and reports whether it was above 0.
func (faults *Faults) ConsumeDroppedAnswer() bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	if faults.switches.DropAnswers == 0 {
		return false
	}

	faults.switches.DropAnswers--

	return true
}

// Apply applies an outage, delay, freeze or silence to a call. It returns false if the
// call must fail without effect.
func (faults *Faults) Apply(done <-chan struct{}) bool {
	for {
		faults.mutex.Lock()
		switches, changed := faults.switches, faults.changed
		faults.mutex.Unlock()

		if switches.Outage {
			return false
		}

		if switches.Freeze || switches.Silent {
			select {
			case <-changed:
				continue
			case <-done:
				return false
			}
		}

		if switches.Delay > 0 {
			select {
			case <-time.After(switches.Delay):
			case <-done:
				return false
			}
		}

		return true
	}
}

// ServeHTTP reads the switches on GET and replaces them on POST.
func (faults *Faults) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		switches := FaultSwitches{}

		decoder := json.NewDecoder(request.Body)
		decoder.DisallowUnknownFields()

		if err := decoder.Decode(&switches); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)

			return
		}

		faults.Set(switches)
	}

	writeJSON(writer, faults.Get())
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has closed the connection.
	_ = json.NewEncoder(writer).Encode(value)
}
