package quarantiner

import (
	"cmp"
)

// Subject is what may end the backend servers of a service: a part of prompts, or one request.
// Services differ in their servers, so that a part may end those of one of them only.
type Subject struct {
	Service string
	// Part is the ID of a prompt's part, and empty if the subject is a request.
	Part string `json:",omitempty"`
	// Fingerprint is that of the request, and empty if the subject is a part.
	Fingerprint string `json:",omitempty"`
}

// isRequest reports whether the subject is one request, as opposed to a part that requests
// share.
func (subject Subject) isRequest() bool {
	return subject.Fingerprint != ""
}

func compareSubjects(one, other *suspect) int {
	return cmp.Or(
		cmp.Compare(one.subject.Service, other.subject.Service),
		cmp.Compare(one.subject.Part, other.subject.Part),
		cmp.Compare(one.subject.Fingerprint, other.subject.Fingerprint),
	)
}
