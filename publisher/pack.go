package publisher

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/keeper"
)

// pack encodes the document as gzipped JSON, as it is sent to peers.
func pack(document *editor.Document) ([]byte, error) {
	packed := &bytes.Buffer{}
	writer := gzip.NewWriter(packed)

	if err := json.NewEncoder(writer).Encode(document); err != nil {
		return nil, errors.Trace(err)
	}

	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}

	return packed.Bytes(), nil
}

// unpack decodes a document from a peer. It reads at most keeper.MaxValueBytes of
// decompressed data.
func unpack(packed []byte) (*editor.Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Trace(err)
	}

	document := &editor.Document{}
	err = json.NewDecoder(io.LimitReader(reader, keeper.MaxValueBytes)).Decode(document)

	return document, errors.Trace(err)
}
