package allotter

import (
	"math"

	"limpetrail/hasher"
)

// nearWeight is how many times as much work in the server's own data centre counts:
// bytes between data centres cost, and the entries there are few.
const nearWeight = 2.0

// Filler returns the entry that may fill a server, or "" without a claimant. It is a
// weighted rendezvous choice: each entry fills a part of the servers that is in
// proportion to its backlog, and a change of one backlog moves few of them. Work that
// will be late gets a place only where none can be in time.
func Filler(server, dataCentre string, claimants []Claimant) string {
	timely := false
	for _, claimant := range claimants {
		timely = timely || claimant.Backlog.Timely > 0
	}

	found, best := "", math.Inf(-1)

	for _, claimant := range claimants {
		weight := float64(claimant.Backlog.Late)
		if timely {
			weight = float64(claimant.Backlog.Timely)
		}

		if weight == 0 {
			continue
		}

		if claimant.DataCentre == dataCentre {
			weight *= nearWeight
		}

		// The greatest of these falls to each claimant in proportion to its weight.
		score := weight / -math.Log(hasher.Unit(server, claimant.Entry))
		if score > best || score == best && claimant.Entry > found {
			found, best = claimant.Entry, score
		}
	}

	return found
}
