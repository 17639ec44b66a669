package archiver

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// Client reads and stores segments at other holders over DRPC.
type Client struct {
	Dialer *dialer.Dialer
}

var _ Remote = (*Client)(nil)

// NewClient returns a client that uses the dialer's connections.
func NewClient(connections *dialer.Dialer) *Client {
	return &Client{Dialer: connections}
}

// Fetch implements Remote.
func (client *Client) Fetch(ctx context.Context, holder Holder, name string) ([]byte, error) {
	reply, err := client.requestSegment(ctx, holder, &messenger.SegmentRequest{Name: name})
	if err != nil {
		return nil, errors.Trace(err)
	}

	if !reply.GetFound() {
		return nil, errors.NotFoundf("segment %s", name)
	}

	return reply.GetContent(), nil
}

// Probe implements Remote.
func (client *Client) Probe(ctx context.Context, holder Holder, name string) (bool, error) {
	reply, err := client.requestSegment(ctx, holder, &messenger.SegmentRequest{Name: name, Probe: true})

	return reply.GetFound(), errors.Trace(err)
}

// Store implements Remote.
func (client *Client) Store(ctx context.Context, holder Holder, name, owner string, stored []byte) error {
	conn := client.Dialer.Pooled(ctx, holder.Address)
	defer conn.Close()

	_, err := messenger.NewDRPCSegmentsClient(conn).Store(ctx, &messenger.StoreRequest{Name: name, Owner: owner, Content: stored})

	return errors.Trace(err)
}

func (client *Client) requestSegment(ctx context.Context, holder Holder, request *messenger.SegmentRequest) (*messenger.SegmentReply, error) {
	conn := client.Dialer.Pooled(ctx, holder.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCSegmentsClient(conn).Fetch(ctx, request)

	return reply, errors.Trace(err)
}
