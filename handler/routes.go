package handler

import "net/http"

// Routes is one part of the entry's HTTP interface. Each part registers its
// patterns on the entry's mux.
type Routes interface {
	Register(mux *http.ServeMux)
}
