package throttler

// minShare is the smallest share of a limit, in requests a second. Each holder may have saved
// one request. With half a request a second for each, all of these together are what the limit
// allows in two seconds at most.
const minShare = 0.5

// Share is the part of a limit that one entry may use.
type Share struct {
	// Entries is the number of entries that use the server; at least 1.
	Entries int
	// Rank is the entry's place in an order of them that all entries compute alike, from 0.
	Rank int
}

// perSecond returns the entry's part of a limit. A limit that is too small to be divided
// among all entries is divided among the first ones.
func (share Share) perSecond(limit float64) float64 {
	holders := min(max(1, int(limit/minShare)), max(1, share.Entries))
	if share.Rank >= holders {
		return 0
	}

	return limit / float64(holders)
}
