// Package messenger defines the messages and remote calls between the system's
// own processes. They are declared in messenger.proto; `go generate` generates the
// .pb.go files from it.
package messenger

//go:generate buf generate --template ../buf.gen.yaml --output .. ..
