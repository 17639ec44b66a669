package main

import (
	"encoding/json"
	"net/http"

	"limpetrail/emulator"
)

// maxPageBytes bounds a page of the store, as the platform's page says.
const maxPageBytes = 1_000_000

// pagedStore is the project's stand-in of the store, with pages of at most about 1 MB.
type pagedStore struct {
	*emulator.PlatformStore
}

// ServeHTTP implements http.Handler.
func (store pagedStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/limpetrail/kv-range" {
		store.PlatformStore.ServeHTTP(writer, request)

		return
	}

	query := request.URL.Query()

	page, err := store.Catalog.Range(request.Context(), query.Get("prefix"), query.Get("after"), query.Get("allowStale") == "1")
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	items, size, truncated := []map[string]any{}, 0, page.Truncated

	for _, item := range page.Items {
		if size += len(item.Value); size > maxPageBytes && len(items) > 0 {
			truncated = true

			break
		}

		items = append(items, map[string]any{
			"key": item.Key, "value": item.Value, "revision": item.Revision, "createRevision": item.Created, "lease": item.Lease,
		})
	}

	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "truncated": truncated, "storeRevision": page.Revision})
}
