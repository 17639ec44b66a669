package resumer

import (
	"encoding/json"

	"github.com/juju/errors"
)

// maxFieldBytes bounds the fields of records that are received, and maxRecordBytes a whole one.
const (
	maxFieldBytes  = 256
	maxRecordBytes = 2 << 10
)

// record is the JSON body of a datagram: where a stream began.
type record struct {
	Origin

	ID string
}

func decodeRecord(datagram []byte) (record, error) {
	decoded := record{}
	if err := json.Unmarshal(datagram, &decoded); err != nil {
		return record{}, errors.Annotate(err, "record of a stream")
	}

	if decoded.ID == "" || len(decoded.ID) > maxFieldBytes || len(decoded.Service) > maxFieldBytes || len(decoded.Software) > maxFieldBytes {
		return record{}, errors.NotValidf("record of a stream whose ID is missing or whose fields are too long")
	}

	return decoded, nil
}
