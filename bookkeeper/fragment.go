package bookkeeper

const (
	// chunkShare is the share of the longest value that the ledger's values may take, in
	// sixteenths: base64, in which the service takes them, makes them a third longer.
	chunkShare = 9
	// fragmentSyntax is more than the JSON syntax around the data of a fragment.
	fragmentSyntax = 100
)

// ChunkBytes returns the longest value that the ledger writes.
func (ledger Ledger) ChunkBytes() int {
	return ledger.Client.Settings.ValueBytes * chunkShare / 16
}

// Fragment is a part of the JSON of an item or a result that is too long for one value. Its
// fragments follow each other.
type Fragment struct {
	// Begins is set in the first fragment, and Ends in the last one. A first fragment replaces
	// an incomplete sequence before it.
	Begins bool `json:",omitempty"`
	Ends   bool `json:",omitempty"`
	Data   []byte
}

// join appends the fragment to the data of those before it. It returns the data and whether it is
// complete.
func (fragment Fragment) join(before []byte) ([]byte, bool) {
	if fragment.Begins {
		before = nil
	}

	return append(before, fragment.Data...), fragment.Ends
}

// split returns the fragments of data whose JSON is not longer than the limit.
func split(data []byte, limit int) []Fragment {
	size := max(1, (limit-fragmentSyntax)*3/4)
	fragments := []Fragment{}

	for begin := 0; begin < len(data); begin += size {
		end := min(begin+size, len(data))
		fragments = append(fragments, Fragment{Begins: begin == 0, Ends: end == len(data), Data: data[begin:end]})
	}

	return fragments
}
