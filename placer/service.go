package placer

import (
	"time"

	"limpetrail/appointer"
)

// service is what is known of all servers of a service.
type service struct {
	servers []*state
	queue   queue
	// running holds the online runs of this entry.
	running map[*Grant]bool
	// stay is the mean length of an online run.
	stay time.Duration
	book appointer.Book
	// usual is the median time to the first bytes over the servers at usualAt.
	usual   time.Duration
	usualAt time.Time
}

func (placer *Placer) service(name string) *service {
	found := placer.services[name]
	if found == nil {
		found = &service{stay: initialStay, running: map[*Grant]bool{}}
		placer.services[name] = found
	}

	return found
}

// forecast returns how long new work waits behind so much other work, of which
// share runs end for this entry. Of those that are not its own it does not know
// the ages, which lie evenly between none and the usual length.
func (service *service) forecast(now time.Time, ahead, share int) time.Duration {
	runs := make([]time.Duration, 0, share)
	for grant := range service.running {
		runs = append(runs, left(now.Sub(grant.since), service.stay))
	}

	unknown := share - len(runs)
	for number := range unknown {
		runs = append(runs, service.stay*time.Duration(number+1)/time.Duration(unknown+1))
	}

	return forecast(runs, ahead, service.stay)
}
