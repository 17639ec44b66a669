package emulator

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"limpetrail/locator"
)

// InstanceList emulates the platform's list of instances.
type InstanceList struct {
	Faults *Faults

	mutex     sync.Mutex
	instances []locator.Instance
	mux       *http.ServeMux
}

var (
	_ locator.List = (*InstanceList)(nil)
	_ http.Handler = (*InstanceList)(nil)
)

// NewInstanceList returns a list of the given instances.
func NewInstanceList(instances ...locator.Instance) *InstanceList {
	list := &InstanceList{Faults: NewFaults(), instances: instances, mux: http.NewServeMux()}
	list.mux.Handle("/faults", list.Faults)
	list.mux.HandleFunc("GET /v1/instances", list.get)
	list.mux.HandleFunc("PUT /v1/instances", list.put)

	return list
}

// Set replaces the list.
func (list *InstanceList) Set(instances ...locator.Instance) {
	list.mutex.Lock()
	defer list.mutex.Unlock()

	list.instances = instances
}

// Instances implements locator.List.
func (list *InstanceList) Instances(ctx context.Context) ([]locator.Instance, error) {
	if !list.Faults.Apply(ctx.Done()) {
		return nil, errors.Trace(errOutage)
	}

	list.mutex.Lock()
	defer list.mutex.Unlock()

	return slices.Clone(list.instances), nil
}

// ServeHTTP implements http.Handler.
func (list *InstanceList) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	list.mux.ServeHTTP(writer, request)
}

func (list *InstanceList) get(writer http.ResponseWriter, request *http.Request) {
	instances, err := list.Instances(request.Context())
	if err != nil {
		writeError(writer, err)

		return
	}

	body, err := json.Marshal(instances)
	if err != nil {
		writeError(writer, err)

		return
	}

	tag := fmt.Sprintf(`"%x"`, xxhash.Sum64(body))
	writer.Header().Set("ETag", tag)

	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)

		return
	}

	writer.Header().Set("Content-Type", "application/json")

	if !strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		// A write fails only if the caller has closed the connection.
		_, _ = writer.Write(body)

		return
	}

	writer.Header().Set("Content-Encoding", "gzip")

	compressed := gzip.NewWriter(writer)
	defer compressed.Close()

	_, _ = compressed.Write(body)
}

func (list *InstanceList) put(writer http.ResponseWriter, request *http.Request) {
	instances := []locator.Instance{}
	if err := json.NewDecoder(request.Body).Decode(&instances); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)

		return
	}

	list.Set(instances...)
}
