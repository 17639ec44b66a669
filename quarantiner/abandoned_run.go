package quarantiner

import (
	"time"

	"limpetrail/kernel"
)

const (
	// abandonedMemory is how long a server may still work on a request whose connection was
	// closed.
	abandonedMemory = time.Second
	// maxAbandoned bounds the abandoned runs that are remembered, the newest first.
	maxAbandoned = 256
)

// abandonedRun is a run that was given up before its server began to answer.
type abandonedRun struct {
	request     Request
	server      Incarnation
	sentAt      time.Time
	abandonedAt time.Time
	trial       bool
}

// Abandon records that the run is given up, as its server was silent or its caller left. The
// server may still end by it.
func (run *Run) Abandon() {
	if run.begun {
		return
	}

	run.quarantiner.mutex.Lock()
	defer run.quarantiner.mutex.Unlock()

	run.quarantiner.abandoned = append(run.quarantiner.abandoned, abandonedRun{
		request: run.request, server: incarnationOf(run.server), sentAt: run.sentAt, abandonedAt: time.Now(), trial: len(run.tried) > 0,
	})
	run.quarantiner.abandoned = run.quarantiner.abandoned[max(0, len(run.quarantiner.abandoned)-maxAbandoned):]
}

// addStrikesOfAbandoned records strikes against the requests that were abandoned at a server right
// before it ended. The mutex must be held, within an update.
func (quarantiner *Quarantiner) addStrikesOfAbandoned(server Incarnation, endedAt time.Time) {
	kept := quarantiner.abandoned[:0]

	for _, abandoned := range quarantiner.abandoned {
		age := endedAt.Sub(abandoned.abandonedAt)

		switch {
		case time.Since(abandoned.abandonedAt) > 2*abandonedMemory:
		case abandoned.server == server && age < abandonedMemory:
			quarantiner.addStrikes(abandoned.request, strike{
				server: server, requestID: abandoned.request.ID, fingerprint: abandoned.request.Fingerprint,
				sentAt: abandoned.sentAt, endedAt: kernel.Latest(endedAt, abandoned.abandonedAt), trial: abandoned.trial, abandonedAt: abandoned.abandonedAt,
			})
		default:
			kept = append(kept, abandoned)
		}
	}

	quarantiner.abandoned = kept
}

// hasAbandoned reports whether a request was abandoned at the server. The mutex must be held.
func (quarantiner *Quarantiner) hasAbandoned(server Incarnation) bool {
	for _, abandoned := range quarantiner.abandoned {
		if abandoned.server == server {
			return true
		}
	}

	return false
}
