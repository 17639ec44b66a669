package kernel

import (
	"net"
	"net/http"
	"time"
)

const (
	// MaxHeadBytes is far more than any head that the platform's services and the system's own
	// processes send. The default of net/http would let each endless head use 10 MB.
	MaxHeadBytes = 64 << 10
	// idleConnectionTimeout closes connections to processes that are no longer called.
	idleConnectionTimeout = 90 * time.Second
)

// NewTransport returns a transport for calls to the platform's services and to other processes, with
// at most idlePerHost idle connections to each.
func NewTransport(dialer *net.Dialer, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: MaxHeadBytes,
		IdleConnTimeout:        idleConnectionTimeout,
		DisableCompression:     true,
	}
}
