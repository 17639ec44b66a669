package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots      = 8
	queueLimit = 24
	// heartbeat is heartbeatMs; an entry is removed after three of them in silence.
	heartbeat = 1200 * time.Millisecond
)

// eventPause lies between the events of an answer.
var eventPause = func(string) time.Duration { return 10 * time.Millisecond }

// eventCount is the number of events of an answer.
var eventCount = 60

// replica is a stand-in of a model replica. A restart after a crash is a new lifetime with a new id.
type replica struct {
	store   *store
	record  *record
	service string
	zone    string
	address string
	number  int
	// firstEvent is how long a request waits for its first event.
	firstEvent time.Duration
	// version is that of the replica's software.
	version string
	// sameID is true if the replica starts again under the id that it had.
	sameID bool
	// unregistered is true while the store takes no entries.
	unregistered bool

	mutex    sync.Mutex
	lifetime int
	born     int64
	listener net.Listener
	server   *http.Server
	places   chan struct{}
	inside   int
	// stages holds the stage of each request that is at the replica.
	stages map[string]string
	// lastHad is when each request was last at the replica.
	lastHad map[string]time.Time
	down    bool
	// finishedAt is when the replica last answered a request whole.
	finishedAt time.Time
}

// newReplica starts a replica at a free loopback address.
func newReplica(store *store, log *record, service, zone string, number int, firstEvent time.Duration) *replica {
	created := &replica{store: store, record: log, service: service, zone: zone, number: number, firstEvent: firstEvent, version: "v1", lastHad: map[string]time.Time{}}
	listener := listen()

	created.address = listener.Addr().String()
	created.start(listener)

	return created
}

func (replica *replica) id() string {
	if replica.sameID {
		return fmt.Sprintf("i-%02d", replica.number)
	}

	return fmt.Sprintf("i-%02d-%d", replica.number, replica.lifetime)
}

func (replica *replica) start(listener net.Listener) {
	replica.mutex.Lock()
	replica.lifetime++
	replica.born = time.Now().UnixMilli()
	replica.listener, replica.stages, replica.places, replica.inside, replica.down = listener, map[string]string{}, make(chan struct{}, slots), 0, false
	server := &http.Server{Handler: replica}
	replica.server = server
	silent := replica.unregistered
	replica.mutex.Unlock()

	// Serve ends with a crash of the replica, or with the process.
	go func() { _ = server.Serve(listener) }()

	if !silent {
		replica.register()
	}
}

// register writes the replica's entry to the store.
func (replica *replica) register() {
	replica.mutex.Lock()
	id := replica.id()
	entry, err := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": replica.version, "slots": slots,
		"state": "ready", "coldLeftMs": 0, "stage": "any", "callSeq": 0, "born": replica.born,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
	replica.mutex.Unlock()
	check(err)

	replica.store.put("servers/"+id, entry)
}

// crash ends the replica's process, so that its channels and its port close, and starts it again
// after a while under a new id. Its entry is removed after three heartbeats.
func (replica *replica) crash(downtime time.Duration) {
	replica.mutex.Lock()
	replica.down = true
	id, server := replica.id(), replica.server

	for request, stage := range replica.stages {
		replica.record.line("replica %s crashes with %s (%s)", id, request, stage)
	}
	replica.mutex.Unlock()

	replica.record.line("replica %s crashes", id)
	server.Close()

	if !replica.sameID {
		time.AfterFunc(3*heartbeat, func() { replica.store.drop("servers/" + id) })
	}

	time.AfterFunc(downtime, func() {
		listener, err := net.Listen("tcp", replica.address)
		check(err)
		replica.start(listener)
		replica.record.line("replica %s is up at the same address, version %s", replica.id(), replica.version)
	})
}

// waiting returns the requests that wait for their first event here.
func (replica *replica) waiting() []string {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	found := []string{}

	for request, stage := range replica.stages {
		if stage == "before its first event" && !replica.down {
			found = append(found, request)
		}
	}

	return found
}

// busy returns how many requests are at the replica.
func (replica *replica) busy() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	return len(replica.stages)
}

// had returns when the request was last at the replica.
func (replica *replica) had(request string) time.Time {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	if replica.stages[request] != "" {
		return time.Now()
	}

	return replica.lastHad[request]
}

func (replica *replica) setStage(request, stage string) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	replica.lastHad[request] = time.Now()

	if stage == "" {
		delete(replica.stages, request)

		return
	}

	replica.stages[request] = stage
}

// ServeHTTP implements http.Handler.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	replica.mutex.Lock()
	id, born, places, version := replica.id(), replica.born, replica.places, replica.version
	replica.mutex.Unlock()

	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/limpetrail/report":
		answer(writer, http.StatusOK, map[string]any{
			"stage": "any", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "callSeq": 0,
			"waiting": 0, "running": replica.busy(), "kvUsed": 0, "kvTotal": 134354, "handles": 0, "born": born,
		})

		return
	case request.Method == http.MethodGet && request.URL.Path == "/healthz":
		writer.Header().Set("X-Limpetrail-Instance-Id", id)

		return
	}

	_, _ = io.Copy(io.Discard, request.Body)

	attempt := request.Header.Get("X-Limpetrail-Attempt-Id")
	writer.Header().Set("X-Limpetrail-Attempt-Id", attempt)
	writer.Header().Set("X-Limpetrail-Instance-Id", id)

	if expected := request.Header.Get("X-Limpetrail-Expect-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	replica.mutex.Lock()
	full := replica.inside >= slots+queueLimit
	if !full {
		replica.inside++
	}
	replica.mutex.Unlock()

	if full {
		writer.Header().Set("X-Limpetrail-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	replica.record.line("replica %s gets %s (%s %s, Last-Event-Id %q)", id, attempt, request.Method, request.URL.Path, request.Header.Get("Last-Event-Id"))
	replica.setStage(attempt, "before its first event")

	defer func() {
		replica.setStage(attempt, "")

		replica.mutex.Lock()
		defer replica.mutex.Unlock()

		replica.inside--
	}()

	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}

	first := 0
	if after, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}

	replica.writeEvents(writer, request, attempt, id, version, first)
}

func (replica *replica) writeEvents(writer http.ResponseWriter, request *http.Request, attempt, id, version string, first int) {
	control := http.NewResponseController(writer)

	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Limpetrail-Response-Stamp", "stamp-"+id+"-"+attempt)

	pause := replica.firstEvent

	for number := first; number < eventCount; number++ {
		select {
		case <-time.After(pause):
		case <-request.Context().Done():
			replica.record.line("replica %s: the channel of %s closes before event %d", id, attempt, number)
			panic(http.ErrAbortHandler)
		}

		pause = eventPause(attempt)

		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventText(attempt, number)+versionMark(version)); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}

		if number == first {
			replica.setStage(attempt, "running")
		}
	}

	replica.mutex.Lock()
	replica.finishedAt = time.Now()
	replica.mutex.Unlock()
	replica.record.line("replica %s has answered %s whole", id, attempt)
}

// eventText is the data of an event; it is the same at all replicas.
var eventText = func(attempt string, number int) string {
	return fmt.Sprintf("%s-token-%d", attempt, number)
}

// versionMark marks an event with the version of the replica that wrote it, except v1.
func versionMark(version string) string {
	if version == "v1" {
		return ""
	}

	return "@" + version
}
