// Package bufferer receives the bodies of requests and passes answers on, within the memory that is
// reserved for them, for callers that may send and read slowly.
package bufferer
