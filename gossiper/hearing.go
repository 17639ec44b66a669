package gossiper

import (
	"strings"
	"time"
)

const (
	// silentReports that are missing in a row make an entry silent; datagrams are lost
	// now and then.
	silentReports = 4
	// heardShare of the other entries have to be heard for the silence of one to say
	// anything. Otherwise this entry is the one that is cut off.
	heardShare = 0.5
)

// hearing is what is kept of an entry's newest report.
type hearing struct {
	process string
	// former is the process that reported as this entry before.
	former              string
	incarnation, number int64
	at                  time.Time
}

// after tells whether the hearing is newer than a report that came late, or as new.
func (before hearing) after(report Report) bool {
	return report.Incarnation < before.incarnation || report.Incarnation == before.incarnation && report.Number <= before.number
}

// next is the hearing of a newer report.
func (before hearing) next(report Report) hearing {
	made := before
	made.incarnation, made.number, made.at = report.Incarnation, report.Number, time.Now()

	if report.Process != before.process {
		made.process, made.former = report.Process, before.process
	}

	return made
}

// Silent tells whether a process, named as in the list of members, is gone or frozen:
// another start of its instance reports instead, or it has been heard and is not any
// more while most others are.
func (gossiper *Gossiper) Silent(process string) bool {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	instance, _, _ := strings.Cut(process, "#")

	heard, known := gossiper.heard[instance]
	if !known || gossiper.peers[instance] == nil {
		return false
	}

	if heard.process != process {
		return heard.former == process
	}

	return !gossiper.fresh(heard) && gossiper.hearsMost()
}

func (gossiper *Gossiper) fresh(heard hearing) bool {
	return time.Since(heard.at) < gossiper.silentAfter()
}

// silentAfter is how long after its last report an entry is silent. Among many, two
// reports are further apart. The mutex is held.
func (gossiper *Gossiper) silentAfter() time.Duration {
	return silentReports * (longestInterval + gossiper.pause())
}

// hearsMost tells whether more than half of the other entries are heard.
func (gossiper *Gossiper) hearsMost() bool {
	fresh := 0

	for instance := range gossiper.peers {
		if heard, known := gossiper.heard[instance]; known && gossiper.fresh(heard) {
			fresh++
		}
	}

	return float64(fresh) > heardShare*float64(len(gossiper.peers))
}
