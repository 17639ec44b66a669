package quarantiner

// Request is what is known of a request before it is sent.
type Request struct {
	ID      string
	Service string
	// Fingerprint is the same for all attempts at the request, by whichever entry; empty for a
	// request that is never the cause of a server's end by itself.
	Fingerprint string
	// Parts holds the IDs of the prompt's parts that other requests may share, in order.
	Parts []string
	// Patient requests can wait until another one has shown that servers answer their parts.
	Patient bool
	// Waiting requests were blocked before and wait for a trial; they are no new ones.
	Waiting bool
}

// subjects returns what may end the servers that begin to answer the request: the shared parts
// of its prompt in order, then the request itself.
func (request Request) subjects() []Subject {
	subjects := make([]Subject, 0, len(request.Parts)+1)
	for _, part := range request.Parts {
		subjects = append(subjects, Subject{Service: request.Service, Part: part})
	}

	if request.Fingerprint != "" {
		subjects = append(subjects, Subject{Service: request.Service, Fingerprint: request.Fingerprint})
	}

	return subjects
}

// depthOf returns how specific the subject with the index is. A request is more specific than
// any part of its prompt.
func (request Request) depthOf(index int) int {
	if index == len(request.Parts) {
		return maxDepth
	}

	return index
}
