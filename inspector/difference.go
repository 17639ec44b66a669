package inspector

// Change is what happened to an entry.
type Change string

// Changes of an entry.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is one entry that two documents do not have in common.
type Difference struct {
	Change Change
	// Entry names the entry, such as "service NAME". A key is named by its hash.
	Entry string
	// Before and After show the entry's fields that differ; empty if it is absent there.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}
