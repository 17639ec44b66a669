package messenger

import "storj.io/drpc"

// Service is an RPC service that a process offers to its peers. It registers
// itself on the process's mux.
type Service interface {
	RegisterService(mux drpc.Mux) error
}
