package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Switches are the faults that a stand-in can be told to have.
type Switches struct {
	// Delay is added before each call takes effect.
	Delay time.Duration
	// Outage fails every call without effect.
	Outage bool
	// DropAnswers is how many further writes take effect and lose their answer.
	DropAnswers int
	// Freeze holds every call until it is switched off or the caller leaves.
	Freeze bool
	// Silent lets calls in and never answers on connections that exist now.
	Silent bool
	// IgnoreFence obeys orders of any fencing number.
	IgnoreFence bool
}

// Faults is the switchboard of one stand-in.
type Faults struct {
	mutex    sync.Mutex
	switches Switches
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewFaults returns a switchboard with every fault off.
func NewFaults() *Faults {
	return &Faults{changed: make(chan struct{})}
}

// Set replaces all switches.
func (faults *Faults) Set(switches Switches) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	faults.switches = switches
	close(faults.changed)
	faults.changed = make(chan struct{})
}

// Get returns the switches.
func (faults *Faults) Get() Switches {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	return faults.switches
}

// TakeDrop uses up one dropped answer, if any is left.
func (faults *Faults) TakeDrop() bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()

	if faults.switches.DropAnswers == 0 {
		return false
	}

	faults.switches.DropAnswers--

	return true
}

// Wait applies delay, freeze and silence to a call. It returns false when the
// call must fail without effect.
func (faults *Faults) Wait(done <-chan struct{}) bool {
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
		switches := Switches{}

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
	// The connection is the caller's; a failed write has no one left to tell.
	_ = json.NewEncoder(writer).Encode(value)
}
