package matcher

import (
	"crypto/sha256"
	"encoding/hex"
)

// shortHashBytes is enough to tell refused keys apart in a log, and too little to search for a key.
const shortHashBytes = 4

// MaxKeyBytes is the longest key.
const MaxKeyBytes = 256

// KeyHash is the hash of a key. Keys are looked up and logged by it, so that neither the time of a
// lookup nor a log shows any part of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	if len(key) > MaxKeyBytes {
		return sha256.Sum256([]byte(key))
	}

	// The conversion of a key with more than 32 bytes allocates.
	buffer := [MaxKeyBytes]byte{}

	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// Short returns the beginning of the hash for logs.
func (hash KeyHash) Short() string {
	return hex.EncodeToString(hash[:shortHashBytes])
}
