package resumer

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the software version of the server that sent the first event; empty if the
	// servers name none.
	Software string
}
