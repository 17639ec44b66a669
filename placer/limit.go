package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/throttler"
)

const (
	// limitRetention is how long the limit of a server is kept after its server was last
	// listed, as the server may be listed again.
	limitRetention = 10 * time.Minute
	// limitReportTime is how long a statement that an answer made here is reported to other
	// entries: several reports, as single ones get lost.
	limitReportTime = 1500 * time.Millisecond
	// maxReportedLimits bounds a report.
	maxReportedLimits = 64
)

// serverStart is one start of a backend server.
type serverStart struct {
	id          string
	incarnation int64
}

// limit is what one start of a backend server said of the requests that it takes.
type limit struct {
	throttler.Throttle
	// heardAt is when an answer to this entry last named a limit, or withdrew it.
	heardAt time.Time
	// lastListed is when the server was last listed.
	lastListed time.Time
}

// ReportedLimit is a statement of a backend server that one entry received.
type ReportedLimit struct {
	ID          string
	Incarnation int64
	throttler.Statement
	// Age is how long before the report the server made the statement.
	Age time.Duration
}

// RecordStatement records what an answer of a server says of the requests that it takes.
func (placer *Placer) RecordStatement(server Server, statement throttler.Statement, requestID string) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	start, now := serverStart{id: server.ID, incarnation: server.Incarnation}, time.Now()

	known := placer.limits[start]
	if known == nil && !statement.Limited {
		return
	}

	if placer.applyStatement(start, statement, now, "answer to "+requestID) || statement.Limited {
		placer.limits[start].heardAt = now
	}
}

// ApplyReportedLimits applies the statements that another entry received.
func (placer *Placer) ApplyReportedLimits(peer string, reported []ReportedLimit) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	now := time.Now()
	for _, each := range reported {
		placer.applyStatement(serverStart{id: each.ID, incarnation: each.Incarnation}, each.Statement, now.Add(-max(0, each.Age)), "report of "+peer)
	}
}

// applyStatement applies a statement that a server made at a time and reports whether its
// limit changed. The mutex is held.
func (placer *Placer) applyStatement(start serverStart, statement throttler.Statement, statedAt time.Time, evidence string) bool {
	known, now := placer.limits[start], time.Now()
	if known == nil {
		known = &limit{lastListed: now}
		placer.limits[start] = known
	}

	before, age := known.Statement(), known.Age(now)
	if !known.Apply(statement, statedAt, now) {
		return false
	}

	fields := logrus.Fields{"BackendServer": start.id, "Incarnation": start.incarnation, "PerSecond": statement.PerSecond, "Limited": statement.Limited, "Evidence": evidence, "Age": now.Sub(statedAt)}

	if before.Limited {
		fields["Before"], fields["BeforeAge"] = before.PerSecond, age
	}

	if server := placer.servers[start.id]; server != nil && server.Incarnation == start.incarnation {
		server.limit = known
		placer.shareLimit(server, placer.owners())

		fields["Own"], fields["Others"] = server.own.Total(), server.others.Total()
	}

	placer.Log.WithFields(fields).Info("Backend server changed the requests a second that it takes.")

	return true
}

// ReportedLimits returns the statements that answers made to this entry lately, the latest
// first, to be reported to other entries.
func (placer *Placer) ReportedLimits() []ReportedLimit {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	reported, now := []ReportedLimit{}, time.Now()

	for start, known := range placer.limits {
		if now.Sub(known.heardAt) < limitReportTime {
			reported = append(reported, ReportedLimit{ID: start.id, Incarnation: start.incarnation, Statement: known.Statement(), Age: known.Age(now)})
		}
	}

	slices.SortFunc(reported, func(a, b ReportedLimit) int { return int(a.Age - b.Age) })

	return reported[:min(len(reported), maxReportedLimits)]
}

// pruneLimits drops the limits of servers that have not been listed for limitRetention. The
// mutex is held.
func (placer *Placer) pruneLimits(now time.Time) {
	maps.DeleteFunc(placer.limits, func(start serverStart, known *limit) bool {
		if server := placer.servers[start.id]; server != nil && server.Incarnation == start.incarnation {
			known.lastListed = now
		}

		return now.Sub(known.lastListed) > limitRetention
	})
}
