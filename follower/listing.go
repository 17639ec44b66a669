package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// listing is the result of listing the prefix.
type listing struct {
	items []keeper.Item
	// revision is that of the first page: a watch from there also returns changes made while
	// the later pages were read.
	revision keeper.Revision
	// consistent tells that the service did not change while the pages were read.
	consistent bool
	err        error
	// began is when the list was requested, and peerNewest the newest revision of a peer
	// that was known then.
	began      time.Time
	peerNewest uint64
}

// readAll reads all items below the prefix, page by page, by ordinary reads.
func (follower *Follower) readAll(ctx context.Context) listing {
	result, after := listing{consistent: true}, ""

	for {
		page, err := follower.Client.Range(ctx, follower.Prefix, after, false)
		if err != nil {
			return listing{err: errors.Trace(err)}
		}

		if result.revision == 0 {
			result.revision = page.Revision
		}

		result.consistent = result.consistent && page.Revision == result.revision
		result.items = append(result.items, page.Items...)

		if !page.Truncated || len(page.Items) == 0 {
			return result
		}

		after = page.Items[len(page.Items)-1].Key
	}
}
