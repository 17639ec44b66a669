package app

import (
	"context"
	"net"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// newMux registers the RPC services that peers may call.
func newMux(services []messenger.Service) (*drpcmux.Mux, error) {
	mux := drpcmux.New()

	for _, service := range services {
		if err := service.RegisterService(mux); err != nil {
			return nil, errors.Trace(err)
		}
	}

	return mux, nil
}

// servePeers serves RPC to the system's other processes until the context ends.
func servePeers(ctx context.Context, listener net.Listener, services []messenger.Service) error {
	mux, err := newMux(services)
	if err != nil {
		return errors.Trace(err)
	}

	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})

	return errors.Annotate(server.Serve(ctx, listener), "serving peers")
}
