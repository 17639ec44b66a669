package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is short enough for reports, and long enough that no caller can make a
// request with the fingerprint of another caller's.
const fingerprintBytes = 16

// Fingerprint identifies a request among all attempts at it: those with the same identity (who
// asks for what) and body. Attempts have IDs of their own.
func Fingerprint(body []byte, identity ...string) string {
	hash := sha256.New()

	for _, part := range identity {
		// Write of a hash never returns an error. The length keeps two parts apart.
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		_, _ = hash.Write([]byte(part))
	}

	_, _ = hash.Write(body)

	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
