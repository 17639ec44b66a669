package matcher

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxKeyBytes is the longest key.
const MaxKeyBytes = 256

// shortHashBytes is enough to tell refused keys apart in a log, and too little to find a key by it.
const shortHashBytes = 4

// ShortKeyHash returns the beginning of a key's SHA-256 hash. Logs and errors show it instead of the key.
func ShortKeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))

	return hex.EncodeToString(hash[:shortHashBytes])
}
