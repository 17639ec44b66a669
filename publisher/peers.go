package publisher

import (
	"context"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// Peers sends document requests to other processes.
type Peers interface {
	// Exchange sends one request to the process at the address.
	Exchange(ctx context.Context, address string, request *messenger.DocumentRequest) (*messenger.DocumentReply, error)
}

// DialedPeers sends requests over the dialer's pooled connections.
type DialedPeers struct {
	Dialer *dialer.Dialer
}

var _ Peers = (*DialedPeers)(nil)

// NewDialedPeers returns Peers that use the dialer's connections.
func NewDialedPeers(connections *dialer.Dialer) *DialedPeers {
	return &DialedPeers{Dialer: connections}
}

// Exchange implements Peers.
func (peers *DialedPeers) Exchange(ctx context.Context, address string, request *messenger.DocumentRequest) (*messenger.DocumentReply, error) {
	connection := peers.Dialer.Pooled(ctx, address)
	defer connection.Close()

	return messenger.NewDRPCDocumentsClient(connection).Document(ctx, request)
}
