package archiver

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxSegmentBytes bounds the size of a segment before compression.
const MaxSegmentBytes = 8 << 20

// Compress returns the stored form of the data, compressed with zstd.
func Compress(data []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic("archiver: invalid encoder options: " + err.Error())
	}
	defer encoder.Close()

	return encoder.EncodeAll(data, nil)
}

// Decompress returns the data of a stored form. It fails if the data is larger than
// MaxSegmentBytes.
func Decompress(stored []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxSegmentBytes))
	if err != nil {
		panic("archiver: invalid decoder options: " + err.Error())
	}
	defer decoder.Close()

	data, err := decoder.DecodeAll(stored, nil)

	return data, errors.Annotate(err, "decompressing a segment")
}

// SegmentName returns the name of a segment: the SHA-256 of its stored bytes in hex.
func SegmentName(stored []byte) string {
	sum := sha256.Sum256(stored)

	return hex.EncodeToString(sum[:])
}

// validName reports whether SegmentName can return the name. Names come from peers
// and become file names, so they must not contain paths.
func validName(name string) bool {
	decoded, err := hex.DecodeString(name)

	return err == nil && len(decoded) == sha256.Size && hex.EncodeToString(decoded) == name
}
