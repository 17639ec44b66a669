package gossiper

import (
	"slices"
	"strings"
	"time"

	"limpetrail/placer"
)

const (
	// missedUntilSilent is the number of reports missing in a row after which an entry
	// counts as silent; single datagrams are lost now and then.
	missedUntilSilent = 4
	// maxPause is how long an entry may pause and go on; its jobs go on with it.
	maxPause = 1600 * time.Millisecond
	// minFreshShare is the share of peers that must be exceeded by those still reporting
	// before one counts as silent. Otherwise this entry is probably disconnected itself.
	minFreshShare = 0.5
)

// receivedReport holds the parts of an entry's newest report that later ones are
// compared with.
type receivedReport struct {
	process    string
	dataCentre string
	// loads are the entry's loads as of the report loadsNumber; nil until a report had all of
	// them. A received map is not changed.
	loads       map[string]placer.Load
	loadsNumber int64
	// previousProcess is the process that reported for the entry before its last restart.
	previousProcess     string
	incarnation, number int64
	receivedAt          time.Time
}

// supersedes tells whether the received report is newer than another one, or the same.
func (received receivedReport) supersedes(report Report) bool {
	return report.Incarnation < received.incarnation || report.Incarnation == received.incarnation && report.Number <= received.number
}

// updated returns what is kept of a newer report of the entry.
func (received receivedReport) updated(report Report) receivedReport {
	result := received

	if loads, follows := received.mergedLoads(report); follows {
		result.loads, result.loadsNumber = loads, report.Number
	} else if report.Incarnation != received.incarnation {
		// Nothing is known of a new process before its first full report.
		result.loads, result.process, result.previousProcess = nil, "", received.process
	}

	result.incarnation, result.number, result.receivedAt = report.Incarnation, report.Number, time.Now()

	if report.Since > 0 {
		return result
	}

	result.dataCentre = report.DataCentre

	if report.Process != received.process {
		result.process, result.previousProcess = report.Process, received.process
	}

	return result
}

// IsSilent tells whether a process, named as in the list of members, has ended or frozen:
// either its instance was restarted and the new process reports, or it has stopped
// reporting while most other entries still report.
func (gossiper *Gossiper) IsSilent(process string) bool {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	instance, _, _ := strings.Cut(process, "#")

	last, known := gossiper.lastReports[instance]
	if !known || gossiper.peers[instance] == nil {
		return false
	}

	if last.process != process {
		return last.previousProcess == process
	}

	return !gossiper.isFresh(last) && gossiper.mostPeersFresh()
}

func (gossiper *Gossiper) isFresh(last receivedReport) bool {
	return time.Since(last.receivedAt) < gossiper.silenceTimeout()
}

// silenceTimeout is how long after its last report an entry counts as silent.
// It is longer with many entries, which report less often. The caller holds the mutex.
func (gossiper *Gossiper) silenceTimeout() time.Duration {
	interval := maxReportInterval + gossiper.reportIntervalLocked()

	return max(missedUntilSilent*interval, interval+maxPause)
}

// TurnAfter returns how many turns this entry has after another one, in the order of the names
// of the entries that report now: 1 for the next. It returns 0 if no other entry reports. An
// entry that does not report, or an empty name, counts as this entry itself.
func (gossiper *Gossiper) TurnAfter(instance string) int {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	names := []string{gossiper.Instance}

	for name := range gossiper.peers {
		if last, known := gossiper.lastReports[name]; known && gossiper.isFresh(last) {
			names = append(names, name)
		}
	}

	if len(names) == 1 {
		return 0
	}

	slices.Sort(names)

	own, other := slices.Index(names, gossiper.Instance), slices.Index(names, instance)
	if other < 0 || other == own {
		return len(names)
	}

	return (own - other + len(names)) % len(names)
}

// mostPeersFresh tells whether more than half of the peers have reported recently.
func (gossiper *Gossiper) mostPeersFresh() bool {
	fresh := 0

	for instance := range gossiper.peers {
		if last, known := gossiper.lastReports[instance]; known && gossiper.isFresh(last) {
			fresh++
		}
	}

	return float64(fresh) > minFreshShare*float64(len(gossiper.peers))
}
