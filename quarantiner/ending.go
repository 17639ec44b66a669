package quarantiner

import (
	"context"
	"maps"
	"slices"
	"time"

	"limpetrail/placer"
)

const (
	// commonCauseWindow is how far apart the ends of servers with one cause may be seen: a rack
	// without power, or crashes in a row.
	commonCauseWindow = 2 * time.Second
	// endingMemory and maxEndings bound the ends that are remembered.
	endingMemory = time.Minute
	maxEndings   = 256
	// endingCheckTimeout bounds the check whether a server has ended whose stream broke off.
	endingCheckTimeout = 500 * time.Millisecond
)

// ending is the end of a server, whatever ran there.
type ending struct {
	service string
	endedAt time.Time
}

// recordEnding records the end of a server once. The mutex must be held.
func (quarantiner *Quarantiner) recordEnding(service string, server Incarnation, endedAt time.Time) {
	if _, known := quarantiner.endings[server]; known || time.Since(endedAt) > endingMemory {
		return
	}

	if len(quarantiner.endings) >= maxEndings {
		maps.DeleteFunc(quarantiner.endings, func(_ Incarnation, known ending) bool { return time.Since(known.endedAt) > endingMemory })
	}

	if len(quarantiner.endings) < maxEndings {
		quarantiner.endings[server] = ending{service: service, endedAt: endedAt}
	}
}

// EndedBeside reports whether another server of the service ended at about the same time as the
// server, so that both may have one cause. The servers in except do not count: a request that ends
// servers ends one after the other.
func (quarantiner *Quarantiner) EndedBeside(service string, server placer.Server, endedAt time.Time, except []placer.Server) bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	for ended, known := range quarantiner.endings {
		if known.service != service || ended == incarnationOf(server) || known.endedAt.Sub(endedAt).Abs() > commonCauseWindow {
			continue
		}

		if !slices.ContainsFunc(except, func(other placer.Server) bool { return incarnationOf(other) == ended }) {
			return true
		}
	}

	return false
}

// checkEnding finds out in the background whether a server has ended whose answer broke off after
// it had begun. That is no evidence against the request, but may explain other ends.
func (quarantiner *Quarantiner) checkEnding(ctx context.Context, service string, server placer.Server) {
	if !quarantiner.startEndingCheck(incarnationOf(server)) {
		return
	}

	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endingCheckTimeout)
		defer cancel()

		brokeOffAt := time.Now()
		ended := quarantiner.Liveness.HasEnded(ctx, server)

		quarantiner.mutex.Lock()
		defer quarantiner.mutex.Unlock()

		delete(quarantiner.checkingEndings, incarnationOf(server))

		if ended {
			quarantiner.recordEnding(service, incarnationOf(server), brokeOffAt)
		}
	}()
}

// startEndingCheck reports whether a check of the server is due: none runs, and its end is not
// known.
func (quarantiner *Quarantiner) startEndingCheck(server Incarnation) bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()

	_, known := quarantiner.endings[server]
	if quarantiner.Liveness == nil || known || quarantiner.checkingEndings[server] {
		return false
	}

	quarantiner.checkingEndings[server] = true

	return true
}
