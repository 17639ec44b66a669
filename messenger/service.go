package messenger

import "storj.io/drpc"

// Service is one part of what a process answers to its peers. Each part
// registers itself on the process's mux.
type Service interface {
	RegisterService(mux drpc.Mux) error
}
