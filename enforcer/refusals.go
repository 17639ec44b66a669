package enforcer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// refusalsEnd is the time without a refusal after which the refusals of a workspace have stopped.
const refusalsEnd = 5 * time.Second

// logRefusals writes a line when refusals of a workspace start, and counts them.
func (enforcer *Enforcer) logRefusals(workspace string, bucket *bucket, verdict Verdict, now time.Time) {
	if verdict.Admitted {
		return
	}

	enforcer.Metrics.Counter("over_cap").Inc(1)

	if bucket.refused == 0 {
		bucket.refusedSince = now

		enforcer.Log.WithFields(logrus.Fields{
			"Workspace": workspace, "Rate": bucket.limit.PerSecond, "Burst": bucket.capacity(), "RetryAfter": verdict.RetryAfter,
		}).Info("Requests of the workspace are refused because they exceed its cap.")
	}

	bucket.refused++
	bucket.refusedLast = now
}

// logEndedRefusals writes a line for each workspace whose refusals have stopped.
func (enforcer *Enforcer) logEndedRefusals(now time.Time) {
	for _, name := range enforcer.names {
		bucket := enforcer.buckets[name]
		if bucket.refused == 0 || now.Sub(bucket.refusedLast) < refusalsEnd {
			continue
		}

		enforcer.Log.WithFields(logrus.Fields{
			"Workspace": name, "Refused": bucket.refused, "Duration": bucket.refusedLast.Sub(bucket.refusedSince),
		}).Info("Requests of the workspace are within its cap again.")

		bucket.refused = 0
	}
}
