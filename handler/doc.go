// Package handler serves callers over HTTP in the formats that inference clients
// expect. It translates requests into calls for the dispatcher, and their
// outcomes into responses.
package handler
