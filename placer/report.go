package placer

import (
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/allotter"
)

// Report is what another entry says of itself.
type Report struct {
	DataCentre string
	// Loads is what it runs, by server ID.
	Loads map[string]Load
	// Backlogs are the batch work that waits there, by service.
	Backlogs map[string]allotter.Backlog
}

// heard is a report and when it came.
type heard struct {
	Report
	at time.Time
}

// Hear takes in what another entry says of itself. Entries that are heard share the
// servers, whatever the platform's store says of them.
func (placer *Placer) Hear(peer string, report Report) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	before, known := placer.reports[peer]
	now := heard{Report: report, at: time.Now()}

	placer.discharge(before)
	placer.charge(now)
	placer.reports[peer] = now

	if !known {
		placer.Log.WithFields(logrus.Fields{"Peer": peer, "DataCentre": report.DataCentre}).Info("Another entry is heard.")
		placer.settleHomes()
	}

	placer.settle()
}

// Report returns what this entry says of itself.
func (placer *Placer) Report() Report {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return Report{DataCentre: placer.DataCentre, Loads: placer.own(), Backlogs: placer.backlogs}
}

// SetBacklogs replaces what is known of the batch work that waits here, by service.
// The map must not be changed afterwards.
func (placer *Placer) SetBacklogs(backlogs map[string]allotter.Backlog) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	begun := len(placer.backlogs) == 0 && len(backlogs) > 0
	placer.backlogs = backlogs

	if begun {
		placer.announce()
	}
}

// claimants returns the entries with batch work for a service. This one has some,
// since it asks. The mutex is held.
func (placer *Placer) claimants(service string) []allotter.Claimant {
	own := placer.backlogs[service]
	if own == (allotter.Backlog{}) {
		own.Timely = 1
	}

	claimants := []allotter.Claimant{{Entry: placer.Instance, DataCentre: placer.DataCentre, Backlog: own}}

	for peer, report := range placer.reports {
		if backlog := report.Backlogs[service]; backlog != (allotter.Backlog{}) {
			claimants = append(claimants, allotter.Claimant{Entry: peer, DataCentre: report.DataCentre, Backlog: backlog})
		}
	}

	return claimants
}
