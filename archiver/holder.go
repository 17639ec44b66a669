package archiver

import "context"

// Holder is an instance that may keep segments.
type Holder struct {
	Name       string
	Address    string
	DataCentre string
}

// Remote reaches the segments of other holders.
type Remote interface {
	// Fetch returns a NotFound error when the holder has no undamaged copy.
	Fetch(ctx context.Context, holder Holder, name string) ([]byte, error)
	// Probe tells whether the holder has an undamaged copy.
	Probe(ctx context.Context, holder Holder, name string) (bool, error)
	Store(ctx context.Context, holder Holder, name, owner string, stored []byte) error
}
