package measurer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Sizes of the requests.
const (
	sharedPromptTokens      = 160
	minOwnPromptTokens      = 100
	maxOwnPromptTokens      = 400
	minAnswerTokens         = 50
	maxAnswerTokens         = 150
	batchSharedPromptTokens = 320
	batchOwnPromptTokens    = 30
	// bytesPerWord is the capacity reserved for each word of a body.
	bytesPerWord = 16
)

// request is one online request of a run.
type request struct {
	number          int
	firm            string
	arrivesAt       time.Duration
	ownPromptTokens int
	answerTokens    int
}

// drawRequests generates the online requests of a scenario, in order of arrival.
func drawRequests(scenario Scenario) []request {
	requests := []request{}

	for index, arrivals := range scenario.Online {
		random := rand.New(rand.NewPCG(scenario.Seed, uint64(index)))

		for at := arrivals.nextArrival(random, 0); at < scenario.Length; at = arrivals.nextArrival(random, at) {
			requests = append(requests, request{
				firm:            arrivals.Firm,
				arrivesAt:       at,
				ownPromptTokens: minOwnPromptTokens + random.IntN(maxOwnPromptTokens-minOwnPromptTokens+1),
				answerTokens:    minAnswerTokens + random.IntN(maxAnswerTokens-minAnswerTokens+1),
			})
		}
	}

	slices.SortStableFunc(requests, func(left, right request) int { return cmp.Compare(left.arrivesAt, right.arrivesAt) })

	for index := range requests {
		requests[index].number = index
	}

	return requests
}

// nextArrival draws the time of the arrival after the given one. It thins a Poisson
// process of the highest rate (Lewis and Shedler, 1979).
func (arrivals Arrivals) nextArrival(random *rand.Rand, after time.Duration) time.Duration {
	highest := arrivals.Rate * max(1, arrivals.BurstFactor)

	for {
		after += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if random.Float64()*highest <= arrivals.rateAt(after) {
			return after
		}
	}
}

func (arrivals Arrivals) rateAt(at time.Duration) float64 {
	if arrivals.BurstEvery > 0 && at%arrivals.BurstEvery >= arrivals.BurstEvery-arrivals.BurstLength {
		return arrivals.Rate * arrivals.BurstFactor
	}

	return arrivals.Rate
}

func (request request) body() []byte {
	return promptBody(fmt.Sprintf("firm-%s", request.firm), sharedPromptTokens, fmt.Sprintf("r%d", request.number), request.ownPromptTokens, request.answerTokens)
}

func batchBody(item, answerTokens int) []byte {
	return promptBody("batch", batchSharedPromptTokens, fmt.Sprintf("b%d", item), batchOwnPromptTokens, answerTokens)
}

// promptBody returns a request body whose prompt has a token for each word, with the
// shared words first.
func promptBody(shared string, sharedCount int, own string, ownCount, answerTokens int) []byte {
	text := make([]byte, 0, (sharedCount+ownCount)*bytesPerWord)
	text = append(text, `{"prompt":"`...)
	text = appendWords(text, shared, sharedCount)
	text = appendWords(text, own, ownCount)
	text = append(text, `","max_tokens":`...)
	text = strconv.AppendInt(text, int64(answerTokens), 10)

	return append(text, '}')
}

// appendWords appends numbered words. It avoids fmt, because bodies are most of what
// a run allocates.
func appendWords(text []byte, name string, count int) []byte {
	for index := range count {
		text = append(text, name...)
		text = append(text, '.')
		text = strconv.AppendInt(text, int64(index), 10)
		text = append(text, ' ')
	}

	return text
}
