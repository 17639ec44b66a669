package puller

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// Entry is an entry that may have items.
type Entry struct {
	Name    string
	Address string
}

// Jobs reaches the entries' jobs.
type Jobs interface {
	Pull(ctx context.Context, entry Entry, request *messenger.PullRequest) (*messenger.PullReply, error)
	Complete(ctx context.Context, entry Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error)
}

// Client reaches the entries over drpc.
type Client struct {
	Dialer *dialer.Dialer
}

var _ Jobs = (*Client)(nil)

// NewClient returns a client that dials through the dialer.
func NewClient(connections *dialer.Dialer) *Client {
	return &Client{Dialer: connections}
}

// Pull implements Jobs.
func (client *Client) Pull(ctx context.Context, entry Entry, request *messenger.PullRequest) (*messenger.PullReply, error) {
	conn := client.Dialer.Pooled(ctx, entry.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCJobsClient(conn).Pull(ctx, request)

	return reply, errors.Trace(err)
}

// Complete implements Jobs.
func (client *Client) Complete(ctx context.Context, entry Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	conn := client.Dialer.Pooled(ctx, entry.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCJobsClient(conn).Complete(ctx, request)

	return reply, errors.Trace(err)
}
