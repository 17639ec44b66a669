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
