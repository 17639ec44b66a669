package claimer

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// record is the content of one shard.
type record struct {
	Claims []Claim
}

func decodeRecord(value []byte) (*record, error) {
	found := &record{}
	if len(value) == 0 {
		return found, nil
	}

	err := json.Unmarshal(value, found)

	return found, errors.Annotate(err, "claims")
}

func (record *record) encode() ([]byte, error) {
	value, err := json.Marshal(record)

	return value, errors.Trace(err)
}

// find returns the claim of that key, or nil.
func (record *record) find(key string) *Claim {
	for index := range record.Claims {
		if record.Claims[index].Key == key {
			return &record.Claims[index]
		}
	}

	return nil
}

// remove drops the claim of that key.
func (record *record) remove(key string) {
	kept := record.Claims[:0]

	for _, claim := range record.Claims {
		if claim.Key != key {
			kept = append(kept, claim)
		}
	}

	record.Claims = kept
}

// expire drops claims that are past their retention, and results before that.
// Instances' wall clocks may differ by minutes, which is little against both.
func (record *record) expire(now time.Time) {
	kept := record.Claims[:0]

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

		kept = append(kept, claim)
	}

	record.Claims = kept
}
