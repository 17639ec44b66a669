package measurer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Sizes of the requests, in tokens.
const (
	sharedPrompt      = 160
	minOwnPrompt      = 100
	maxOwnPrompt      = 400
	minAnswer         = 50
	maxAnswer         = 150
	batchSharedPrompt = 320
	batchOwnPrompt    = 30
	// bytesPerWord is the room kept for a word of a body.
	bytesPerWord = 16
)

// request is one online request of a run.
type request struct {
	number    int
	firm      string
	at        time.Duration
	ownPrompt int
	answer    int
}

// draw returns the online requests of a scenario in order of arrival.
func draw(scenario Scenario) []request {
	requests := []request{}

	for index, arrivals := range scenario.Online {
		random := rand.New(rand.NewPCG(scenario.Seed, uint64(index)))

		for at := arrivals.next(random, 0); at < scenario.Length; at = arrivals.next(random, at) {
			requests = append(requests, request{
				firm:      arrivals.Firm,
				at:        at,
				ownPrompt: minOwnPrompt + random.IntN(maxOwnPrompt-minOwnPrompt+1),
				answer:    minAnswer + random.IntN(maxAnswer-minAnswer+1),
			})
		}
	}

	slices.SortStableFunc(requests, func(left, right request) int { return cmp.Compare(left.at, right.at) })

	for index := range requests {
		requests[index].number = index
	}

	return requests
}

// next draws the arrival after the given one by thinning a process of the
// highest rate (Lewis and Shedler, 1979).
func (arrivals Arrivals) next(random *rand.Rand, after time.Duration) time.Duration {
	highest := arrivals.Rate * max(1, arrivals.BurstFactor)

	for {
		after += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if random.Float64()*highest <= arrivals.rate(after) {
			return after
		}
	}
}

func (arrivals Arrivals) rate(at time.Duration) float64 {
	if arrivals.BurstEvery > 0 && at%arrivals.BurstEvery >= arrivals.BurstEvery-arrivals.BurstLength {
		return arrivals.Rate * arrivals.BurstFactor
	}

	return arrivals.Rate
}

func (request request) body() []byte {
	return body(fmt.Sprintf("firm-%s", request.firm), sharedPrompt, fmt.Sprintf("r%d", request.number), request.ownPrompt, request.answer)
}

func batchBody(item, answer int) []byte {
	return body("batch", batchSharedPrompt, fmt.Sprintf("b%d", item), batchOwnPrompt, answer)
}

// body returns a request whose words count as tokens: shared ones first.
func body(shared string, sharedCount int, own string, ownCount, answer int) []byte {
	text := make([]byte, 0, (sharedCount+ownCount)*bytesPerWord)
	text = append(text, `{"prompt":"`...)
	text = appendWords(text, shared, sharedCount)
	text = appendWords(text, own, ownCount)
	text = append(text, `","max_tokens":`...)
	text = strconv.AppendInt(text, int64(answer), 10)

	return append(text, '}')
}

// appendWords adds numbered words. Bodies are most of what a run allocates, so
// they are built without formatting.
func appendWords(text []byte, name string, count int) []byte {
	for index := range count {
		text = append(text, name...)
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(index), 10)
		text = append(text, ' ')
	}

	return text
}
