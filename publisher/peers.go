package publisher

import (
	"context"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// Peers reaches the documents of other processes.
type Peers interface {
	// Exchange sends one request to the process at the address.
	Exchange(ctx context.Context, address string, request *messenger.DocumentRequest) (*messenger.DocumentReply, error)
}

// DialedPeers reaches peers over connections.
type DialedPeers struct {
	Dialer *dialer.Dialer
}

var _ Peers = (*DialedPeers)(nil)

// NewDialedPeers returns peers that are reached through the dialer.
func NewDialedPeers(connections *dialer.Dialer) *DialedPeers {
	return &DialedPeers{Dialer: connections}
}

// Exchange implements Peers.
func (peers *DialedPeers) Exchange(ctx context.Context, address string, request *messenger.DocumentRequest) (*messenger.DocumentReply, error) {
	connection := peers.Dialer.Pooled(ctx, address)
	defer connection.Close()

	return messenger.NewDRPCDocumentsClient(connection).Document(ctx, request)
}
