package archiver

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxSegmentBytes bounds a segment before compression.
const MaxSegmentBytes = 8 << 20

// Compress returns the stored form of the data.
func Compress(data []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic("archiver: encoder options are wrong: " + err.Error())
	}
	defer encoder.Close()

	return encoder.EncodeAll(data, nil)
}

// Decompress returns the data of its stored form, of bounded size.
func Decompress(stored []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSegmentBytes))
	if err != nil {
		panic("archiver: decoder options are wrong: " + err.Error())
	}
	defer decoder.Close()

	data, err := decoder.DecodeAll(stored, nil)

	return data, errors.Annotate(err, "decompressing a segment")
}

// Name returns the name of a segment with these stored bytes.
func Name(stored []byte) string {
	sum := sha256.Sum256(stored)

	return hex.EncodeToString(sum[:])
}

// validName tells whether the name is one that Name can return. Names come
// from peers and become file names.
func validName(name string) bool {
	decoded, err := hex.DecodeString(name)

	return err == nil && len(decoded) == sha256.Size && hex.EncodeToString(decoded) == name
}
