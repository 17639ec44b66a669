package claimer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"limpetrail/dispatcher"
)

const (
	keyDigestBytes  = 16
	bodyDigestBytes = 8
)

// Claim is the right of one attempt to run, and later its result.
type Claim struct {
	// Key is the digest of firm, service and idempotency key.
	Key string
	// Body is the digest of path, content type and body.
	Body string
	// At is when the claim was made, in seconds of the Unix epoch.
	At int64
	// Attempt is the only attempt that may run. It changes only after the
	// attempt before it was revoked at its sidecar.
	Attempt     string `json:",omitempty"`
	Incarnation uint64 `json:",omitempty"`
	// Answered is set once the attempt's whole answer was seen; the attempt
	// does not change after that.
	Answered bool `json:",omitempty"`
	// Result is nil while there is none, and where it is too long to be kept
	// here.
	Result *Result `json:",omitempty"`
}

// Result is a whole answer.
type Result struct {
	Events       [][]byte
	FinishReason string `json:",omitempty"`
	Status       int    `json:",omitempty"`
	MediaType    string `json:",omitempty"`
	PromptTokens int    `json:",omitempty"`
}

func newClaim(call dispatcher.Call, key string) Claim {
	return Claim{
		Key:  digest(keyDigestBytes, []byte(call.Firm), []byte(call.Service), []byte(key)),
		Body: digest(bodyDigestBytes, []byte(call.Path), []byte(call.MediaType), call.Body),
	}
}

// shard returns the key of the record that holds the claim.
func (claim Claim) shard() string {
	sum := sha256.Sum256([]byte(claim.Key))

	return fmt.Sprintf("limpetrail/claims/%04x", binary.BigEndian.Uint16(sum[:])%Shards)
}

// digest hashes the parts with their lengths, so that no two lists of parts
// give the same input.
func digest(length int, parts ...[]byte) string {
	hash := sha256.New()

	for _, part := range parts {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		hash.Write(part)
	}

	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:length])
}
