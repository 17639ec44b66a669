package exchanger

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is what goes to a backend server, with its target and body as the
// caller sent them.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// EndToEnd returns the headers without those that concern one connection only.
func EndToEnd(header http.Header) http.Header {
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

// encode writes the head of the request; the body follows it.
func (request Request) encode() []byte {
	head := bytes.Buffer{}
	head.Grow(512 + len(request.Body))
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&head)

	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}

	head.WriteString("\r\n")

	return head.Bytes()
}
