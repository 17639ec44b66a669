package handler

import "net/http"

// Routes is a group of the entry's HTTP routes.
type Routes interface {
	// Register adds the routes to the entry's mux.
	Register(mux *http.ServeMux)
}
