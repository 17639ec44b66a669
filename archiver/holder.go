package archiver

import "context"

// Holder is an instance that may keep segments.
type Holder struct {
	Name       string
	Address    string
	DataCentre string
}

// Remote reads and stores segments at other holders.
type Remote interface {
	// Fetch returns the stored bytes, or a NotFound error if the holder has no
	// undamaged copy.
	Fetch(ctx context.Context, holder Holder, name string) ([]byte, error)
	// Probe reports whether the holder has an undamaged copy.
	Probe(ctx context.Context, holder Holder, name string) (bool, error)
	Store(ctx context.Context, holder Holder, name, owner string, stored []byte) error
}
