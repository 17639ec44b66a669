// Package exchanger speaks HTTP/1.1 to backend servers, one exchange at a time
// on a connection. It repeats nothing, follows nothing and changes nothing of
// what it carries, and says of each failure whether the request can have run.
package exchanger
