package inspector

// Kind is what a remark is about.
type Kind string

// Kinds of remarks.
const (
	// Unused entries never take effect.
	Unused Kind = "Unused"
	// Contradictory limits cannot both take effect.
	Contradictory Kind = "Contradictory"
)

// Remark is a warning about an entry of a document. The document can still be put in force.
type Remark struct {
	Kind Kind
	// Entry names the entry, such as "route NAME".
	Entry string
	// Problem says what is wrong.
	Problem string
	// Remedy says what the operator can do about it.
	Remedy string
}
