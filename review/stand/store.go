package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the platform's valueBytes.
const maxValueBytes = 1 << 20

// item is an item of the metadata store, as PROTOCOL.md describes it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
}

// event is a change in the answer to a watch.
type event struct {
	item

	Deleted bool `json:"deleted,omitempty"`
}

// lease removes its keys at its end.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	changed  chan struct{}
	next     uint64
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// door is an address at which the store serves one machine. It can turn that machine away.
type door struct {
	store   *store
	address string

	mutex sync.Mutex
	// closed is true while the machine gets no answers.
	closed bool
	// watches receives the prefix of each watch that begins.
	watches chan string
}

// open serves the store at a free loopback address.
func (store *store) open() *door {
	listener := listen()
	opened := &door{store: store, address: listener.Addr().String(), watches: make(chan string, 1000)}
	go func() { check(http.Serve(listener, opened)) }()

	return opened
}

// turnAway leaves all calls of the machine unanswered, also those that are waiting, or serves it
// again.
func (door *door) turnAway(closed bool) {
	door.mutex.Lock()
	defer door.mutex.Unlock()

	door.closed = closed
}

func (door *door) isClosed() bool {
	door.mutex.Lock()
	defer door.mutex.Unlock()

	return door.closed
}

// hold leaves a call unanswered until its caller gives up.
func hold(request *http.Request) {
	<-request.Context().Done()
	panic(http.ErrAbortHandler)
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// ServeHTTP implements http.Handler.
func (door *door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if door.isClosed() {
		// The context of a request ends with its connection only once its body was read.
		_, _ = io.Copy(io.Discard, request.Body)

		hold(request)
	}

	store, query := door.store, request.URL.Query()
	last := request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:]
	id, _ := strconv.ParseUint(last, 10, 64)

	switch path := request.URL.Path; {
	case path == "/limpetrail/kv-key":
		store.mutex.Lock()
		found, present := store.items[query.Get("key")]
		revision := store.revision
		store.mutex.Unlock()

		if !present {
			answer(writer, http.StatusNotFound, map[string]any{"storeRevision": revision})

			return
		}

		answer(writer, http.StatusOK, map[string]any{"key": found.Key, "value": found.Value, "revision": found.Revision, "createRevision": found.CreateRevision, "lease": found.Lease, "storeRevision": revision})
	case path == "/limpetrail/kv-range":
		answer(writer, http.StatusOK, store.page(query.Get("prefix"), query.Get("after")))
	case path == "/limpetrail/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		door.watch(writer, request, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/limpetrail/kv-txn":
		status, body := store.transact(request)
		answer(writer, status, body)
	case path == "/limpetrail/kv-lease":
		asked := struct {
			TTLMs int64 `json:"ttlMs"`
		}{}
		_ = json.NewDecoder(request.Body).Decode(&asked)
		granted := store.grant(time.Duration(asked.TTLMs) * time.Millisecond)
		answer(writer, http.StatusOK, map[string]any{"lease": granted, "ttlMs": asked.TTLMs})
	case strings.HasPrefix(path, "/limpetrail/kv-keep/"):
		store.mutex.Lock()
		held := store.leases[id]
		if held != nil {
			held.timer.Reset(held.ttl)
		}
		store.mutex.Unlock()

		if held == nil {
			answer(writer, http.StatusNotFound, map[string]any{})

			return
		}

		answer(writer, http.StatusOK, map[string]any{"lease": id, "ttlMs": held.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/limpetrail/kv-lease-end/"):
		store.endLease(id)
		answer(writer, http.StatusOK, map[string]any{})
	default:
		answer(writer, http.StatusNotFound, map[string]any{})
	}
}

// page returns up to 500 items or 1 MB.
func (store *store) page(prefix, after string) map[string]any {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	keys := []string{}

	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}

	sort.Strings(keys)

	items, size, truncated := []item{}, 0, false

	for _, key := range keys {
		if len(items) > 0 && (len(items) == 500 || size+len(store.items[key].Value) > 1<<20) {
			truncated = true

			break
		}

		items = append(items, store.items[key])
		size += len(store.items[key].Value)
	}

	return map[string]any{"items": items, "truncated": truncated, "storeRevision": store.revision}
}

func (door *door) watch(writer http.ResponseWriter, request *http.Request, prefix string, after uint64, wait time.Duration) {
	store := door.store

	select {
	case door.watches <- prefix:
	default:
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		store.mutex.Lock()
		events, revision, changed := []event{}, store.revision, store.changed

		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		store.mutex.Unlock()

		done := len(events) > 0

		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
				done = true
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}

		if door.isClosed() {
			hold(request)
		}

		answer(writer, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})

		return
	}
}

// transaction is the body of a change under conditions.
type transaction struct {
	ExpectedRevision []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRevision"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (store *store) transact(request *http.Request) (int, any) {
	asked := transaction{}
	if json.NewDecoder(request.Body).Decode(&asked) != nil || len(asked.ExpectedRevision)+len(asked.SetKeys)+len(asked.Remove) > 32 {
		return http.StatusBadRequest, map[string]any{}
	}

	store.mutex.Lock()
	defer store.mutex.Unlock()

	for _, put := range asked.SetKeys {
		switch {
		case len(put.Value) > maxValueBytes || len(put.Key) > 200:
			return http.StatusBadRequest, map[string]any{}
		case strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/"):
			return http.StatusForbidden, map[string]any{}
		case put.Lease != 0 && store.leases[put.Lease] == nil:
			return http.StatusNotFound, map[string]any{}
		}
	}

	present, holds := []item{}, true

	for _, expected := range asked.ExpectedRevision {
		found, exists := store.items[expected.Key]
		if !exists {
			found = item{Key: expected.Key}
		}

		present = append(present, found)
		holds = holds && found.Revision == expected.Revision
	}

	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": present}
	}

	store.revision++

	for _, put := range asked.SetKeys {
		store.set(put.Key, put.Value, put.Lease)
	}

	for _, key := range asked.Remove {
		store.remove(key)
	}

	store.notify()

	return http.StatusOK, map[string]any{"revision": store.revision}
}

// set, remove and notify need the mutex; the caller has increased the revision.
func (store *store) set(key string, value []byte, leaseID uint64) {
	written := item{Key: key, Value: value, Revision: store.revision, CreateRevision: store.revision, Lease: leaseID}
	if previous, exists := store.items[key]; exists {
		written.CreateRevision = previous.CreateRevision
	}

	store.items[key] = written
	store.history = append(store.history, event{item: written})
}

func (store *store) remove(key string) {
	if _, exists := store.items[key]; exists {
		delete(store.items, key)
		store.history = append(store.history, event{item: item{Key: key, Revision: store.revision}, Deleted: true})
	}
}

func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a key as the operator or a replica does, and returns its revision.
func (store *store) put(key string, value []byte) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.revision++
	store.set(key, value, 0)
	store.notify()

	return store.revision
}

// drop removes a key as the platform does.
func (store *store) drop(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.revision++
	store.remove(key)
	store.notify()
}

func (store *store) grant(ttl time.Duration) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	store.next++
	id := store.next
	store.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { store.endLease(id) })}

	return id
}

func (store *store) endLease(id uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	held := store.leases[id]
	if held == nil {
		return
	}

	held.timer.Stop()
	delete(store.leases, id)
	store.revision++

	for key, found := range store.items {
		if found.Lease == id {
			store.remove(key)
		}
	}

	store.notify()
}

// count returns how many keys there are below a prefix.
func (store *store) count(prefix string) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()

	count := 0

	for key := range store.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}

	return count
}
