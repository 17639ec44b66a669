package bookkeeper

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Segment is a group of results that are committed together, in one key, or a fragment of one
// result.
type Segment struct {
	// First is the position of the first result among all results of the job.
	First   int
	Results []Result
	// Fragment is set in a segment without results. The result counts from its last fragment
	// on; an incomplete sequence that a former owner left does not count.
	Fragment *Fragment `json:",omitempty"`
}

// EncodedSegment is a segment with the value that stores it.
type EncodedSegment struct {
	Segment

	Value []byte
}

// EncodeSegments returns the next segments of a job, whose values are not longer than the limit:
// one with as many of the results as fit, or several with the fragments of the first one. It
// returns none if there is no result.
func EncodeSegments(first int, results []Result, limit int) ([]EncodedSegment, error) {
	encoded, size := []json.RawMessage{}, fragmentSyntax

	for _, result := range results {
		value, err := json.Marshal(result)
		if err != nil {
			return nil, errors.Trace(err)
		}

		if size+len(value)+1 > limit {
			if len(encoded) == 0 {
				return encodeFragments(first, value, limit)
			}

			break
		}

		encoded, size = append(encoded, value), size+len(value)+1
	}

	if len(encoded) == 0 {
		return nil, nil
	}

	value, err := json.Marshal(struct {
		First   int
		Results []json.RawMessage
	}{first, encoded})

	return []EncodedSegment{{Segment: Segment{First: first, Results: results[:len(encoded):len(encoded)]}, Value: value}}, errors.Trace(err)
}

func encodeFragments(first int, result []byte, limit int) ([]EncodedSegment, error) {
	segments := []EncodedSegment{}

	// The syntax of the segment is around that of the fragment.
	for _, fragment := range split(result, limit-fragmentSyntax) {
		segment := Segment{First: first, Fragment: &fragment}

		value, err := json.Marshal(segment)
		if err != nil {
			return nil, errors.Trace(err)
		}

		segments = append(segments, EncodedSegment{Segment: segment, Value: value})
	}

	return segments, nil
}

// Joiner joins the fragments of results.
type Joiner struct {
	data []byte
}

// Results returns the results that the next segment adds.
func (joiner *Joiner) Results(segment Segment) ([]Result, error) {
	if segment.Fragment == nil {
		return segment.Results, nil
	}

	data, complete := segment.Fragment.join(joiner.data)
	joiner.data = data

	if !complete {
		return nil, nil
	}

	joiner.data = nil
	result := Result{}
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, errors.Annotate(err, "reading a result in fragments")
	}

	return []Result{result}, nil
}
