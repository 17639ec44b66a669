package exchanger

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is a request to a backend server, with target and body as the caller sent
// them.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// hopByHop lists the headers that apply to one connection (RFC 9110, section 7.6.1),
// and those that Exchange sets itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func EndToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()

	for _, value := range header["Connection"] {
		for _, name := range bytes.Split([]byte(value), []byte(",")) {
			kept.Del(string(bytes.TrimSpace(name)))
		}
	}

	for _, name := range hopByHop {
		delete(kept, name)
	}

	return kept
}

// encode returns the head of the request, with room for the body to be appended if it is written
// together with the head.
func (request Request) encode() []byte {
	head := bytes.Buffer{}
	head.Grow(512)

	if len(request.Body) <= maxInlineBody {
		head.Grow(512 + len(request.Body))
	}

	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&head)

	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}

	head.WriteString("\r\n")

	return head.Bytes()
}
