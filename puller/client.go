package puller

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/dialer"
	"limpetrail/messenger"
)

// Entry is an entry process that may have batch items.
type Entry struct {
	Name    string
	Address string
}

// EntryClient calls the job service of an entry.
type EntryClient interface {
	Pull(ctx context.Context, entry Entry, request *messenger.PullRequest) (*messenger.PullReply, error)
	Complete(ctx context.Context, entry Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error)
}

// Client is an EntryClient over drpc.
type Client struct {
	Dialer *dialer.Dialer
}

var _ EntryClient = (*Client)(nil)

// NewClient returns a client that connects through the dialer.
func NewClient(connections *dialer.Dialer) *Client {
	return &Client{Dialer: connections}
}

// Pull implements EntryClient.
func (client *Client) Pull(ctx context.Context, entry Entry, request *messenger.PullRequest) (*messenger.PullReply, error) {
	conn := client.Dialer.Pooled(ctx, entry.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCJobsClient(conn).Pull(ctx, request)

	return reply, errors.Trace(err)
}

// Complete implements EntryClient.
func (client *Client) Complete(ctx context.Context, entry Entry, request *messenger.CompleteRequest) (*messenger.CompleteReply, error) {
	conn := client.Dialer.Pooled(ctx, entry.Address)
	defer conn.Close()

	reply, err := messenger.NewDRPCJobsClient(conn).Complete(ctx, request)

	return reply, errors.Trace(err)
}
