// Package exchanger is an HTTP/1.1 client for backend servers, with one exchange at a
// time on a connection. It does not retry, follow redirects or change what it carries,
// and it reports for each failure whether the request may have run.
package exchanger
