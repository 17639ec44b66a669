package limiter

// minHeadBytes is less than any head has. The server waits for the first bytes of a request before it
// looks for empty lines.
const minHeadBytes = len("X / HTTP/1.1\n\n")

// headScanner finds the end of a request's head in the parts in which it is read.
type headScanner struct {
	// bytes is the length of the parts so far, lineBytes that of their last line.
	bytes     int
	lineBytes int
}

// scan reports whether the part contains the empty line that ends the head.
func (scanner *headScanner) scan(part []byte) bool {
	for _, character := range part {
		scanner.bytes++

		switch {
		case character == '\n' && scanner.lineBytes == 0 && scanner.bytes >= minHeadBytes:
			return true
		case character == '\n':
			scanner.lineBytes = 0
		case character != '\r':
			scanner.lineBytes++
		}
	}

	return false
}
