package locator

import (
	"bytes"

	"github.com/juju/errors"
)

// errNoArray is the cause if a text is not an array.
var errNoArray = errors.New("expected an array")

// splitArray splits the JSON text of an array into the texts of its elements. It only matches
// brackets and quotes, at any depth, so that an element which cannot be decoded hides no other.
func splitArray(text []byte) ([][]byte, error) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != '[' || text[len(text)-1] != ']' {
		return nil, errors.Trace(errNoArray)
	}

	elements := [][]byte{}
	text = text[1 : len(text)-1]

	for len(bytes.TrimSpace(text)) > 0 {
		end := elementEnd(text)
		elements = append(elements, text[:end])
		text = text[min(end+1, len(text)):]
	}

	return elements, nil
}

// elementEnd returns the index of the comma that ends the first element, or the length of the
// text if it is the last one.
func elementEnd(text []byte) int {
	depth, quoted := 0, false

	for index := 0; index < len(text); index++ {
		switch character := text[index]; {
		case quoted && character == '\\':
			index++
		case character == '"':
			quoted = !quoted
		case quoted:
		case character == '[' || character == '{':
			depth++
		case character == ']' || character == '}':
			depth--
		case character == ',' && depth == 0:
			return index
		}
	}

	return len(text)
}
