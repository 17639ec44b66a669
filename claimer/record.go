package claimer

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// record is the stored content of one shard.
type record struct {
	Claims []Claim
}

func decodeRecord(value []byte) (*record, error) {
	decoded := &record{}
	if len(value) == 0 {
		return decoded, nil
	}

	err := json.Unmarshal(value, decoded)

	return decoded, errors.Annotate(err, "claims")
}

func (record *record) encode() ([]byte, error) {
	value, err := json.Marshal(record)

	return value, errors.Trace(err)
}

// find returns the claim of the key, or nil.
func (record *record) find(key string) *Claim {
	for index := range record.Claims {
		if record.Claims[index].Key == key {
			return &record.Claims[index]
		}
	}

	return nil
}

// remove removes the claim of the key.
func (record *record) remove(key string) {
	remaining := record.Claims[:0]

	for _, claim := range record.Claims {
		if claim.Key != key {
			remaining = append(remaining, claim)
		}
	}

	record.Claims = remaining
}

// dropExpired removes claims older than Retention, and the results of claims older
// than ResultRetention. Wall clocks of instances may differ by minutes, which is
// small compared with both.
func (record *record) dropExpired(now time.Time) {
	remaining := record.Claims[:0]

	for _, claim := range record.Claims {
		age := now.Sub(time.Unix(claim.At, 0))
		if age > Retention {
			continue
		}

		if age > ResultRetention && claim.Answered {
			claim.Result = nil
			claim.Attempt = ""
			claim.Incarnation = 0
		}

		remaining = append(remaining, claim)
	}

	record.Claims = remaining
}
