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

// Claim reserves an idempotency key for one attempt, and later holds the
// attempt's result.
type Claim struct {
	// Key is the digest of firm, service and idempotency key.
	Key string
	// Body is the digest of path, content type and body.
	Body string
	// At is when the claim was made, in seconds since the Unix epoch.
	At int64
	// Attempt is the ID of the only attempt that may run. It is replaced only
	// after the previous attempt was revoked at its sidecar.
	Attempt     string `json:",omitempty"`
	Incarnation uint64 `json:",omitempty"`
	// Answered is set once the attempt's complete answer was received; the
	// attempt is not replaced after that.
	Answered bool `json:",omitempty"`
	// Result is nil until the attempt is answered, if the answer is longer than
	// MaxResultBytes, and after ResultRetention.
	Result *Result `json:",omitempty"`
}

// Result is a complete answer.
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

// shardKey returns the key, in the key-value service, of the record that holds
// the claim.
func (claim Claim) shardKey() string {
	hashed := sha256.Sum256([]byte(claim.Key))

	return fmt.Sprintf("limpetrail/claims/%04x", binary.BigEndian.Uint16(hashed[:])%Shards)
}

// digest hashes the parts with their lengths, so that different lists of parts
// never hash the same bytes.
func digest(length int, parts ...[]byte) string {
	hash := sha256.New()

	for _, part := range parts {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		hash.Write(part)
	}

	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:length])
}
