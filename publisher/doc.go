// Package publisher brings the document into force at every process: it keeps
// the newest revision that this process has heard of and never goes back.
package publisher
