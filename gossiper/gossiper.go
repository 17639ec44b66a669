package gossiper

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/enforcer"
	"limpetrail/follower"
	"limpetrail/gauger"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

const (
	// minReportInterval is the shortest time between two reports. At the peak, requests
	// arrive about that far apart, so that a report rarely carries no new one.
	minReportInterval = 20 * time.Millisecond
	// maxDatagramsPerSecond is what an entry sends while its load changes. With many
	// entries, one report says little about the load of a backend server, so that it
	// may be sent later: up to eight peers get a report every minReportInterval, and a
	// hundred peers every 250 ms.
	maxDatagramsPerSecond = 400
	// maxReportInterval is the longest pause of an entry whose load doesn't change. With
	// few peers, a report expires after a second (see placer) if the next two are lost.
	maxReportInterval = 400 * time.Millisecond
	// unlistedGrace is how long an entry that is missing from the list of members
	// still gets reports. It is longer than usual outages of the key-value service.
	unlistedGrace = 30 * time.Second
	// maxDatagramBytes is enough for the loads of some hundred backend servers.
	maxDatagramBytes = 32 << 10
)

// Report is what one entry tells its peers.
type Report struct {
	Instance string
	// DataCentre and Process are only in reports with all loads. Process identifies this start
	// of the entry, as in the list of members.
	DataCentre string `json:",omitempty"`
	Process    string `json:",omitempty"`
	// Incarnation and Number order the reports of an entry.
	Incarnation int64
	Number      int64
	// Since is 0 if Loads holds all loads of the entry. Otherwise it holds those that changed
	// after the report of that number, and a zero load for a server at which nothing runs now.
	Since int64                  `json:",omitempty"`
	Loads map[string]placer.Load `json:",omitempty"`
	// Departures are the listed backend servers that announced that they are leaving.
	Departures []placer.Departure `json:",omitempty"`
	// Limits are what backend servers said to the entry lately of the requests that they take.
	Limits []placer.ReportedLimit `json:",omitempty"`
	// Marks holds the newest revision that the entry saw below each prefix of the
	// key-value service.
	Marks map[string]keeper.Revision `json:",omitempty"`
	// Verifications holds the prefixes that the entry has verified lately.
	Verifications map[string]follower.Verification `json:",omitempty"`
	// Findings are what the entry knows of prompt parts that end backend servers.
	Findings []quarantiner.Finding `json:",omitempty"`
	// Caps is the entry's use of the workspaces' caps; nil where none are enforced.
	Caps *enforcer.Report `json:",omitempty"`
	// Measures are what the entry measured at backend servers since its last measures of them.
	Measures []gauger.Measure `json:",omitempty"`
}

// peer is the address of another entry.
type peer struct {
	address *net.UDPAddr
	// listed is when it was last in the list of members.
	listed time.Time
}

// Gossiper exchanges reports with other entries.
type Gossiper struct {
	kernel.Common
	Placer *placer.Placer
	// Address is the host and port at which this entry receives datagrams.
	Address string
	// NewestRevisions returns the Marks of this entry's reports, and ApplyPeerRevisions receives
	// those of peers' reports. They are set before Run; nil for none.
	NewestRevisions    func() map[string]keeper.Revision
	ApplyPeerRevisions func(marks map[string]keeper.Revision)
	// Verifications returns those of this entry's reports, and ApplyPeerVerifications receives
	// those of peers' reports. They are set before Run; nil for none.
	Verifications          func() map[string]follower.Verification
	ApplyPeerVerifications func(peer string, verifications map[string]follower.Verification)
	// Findings returns the findings of this entry's reports, and ApplyFindings receives those
	// of peers' reports. They are set before Run; nil for none.
	Findings      func() []quarantiner.Finding
	ApplyFindings func(peer string, findings []quarantiner.Finding)
	// Enforcer exchanges the use of caps in reports. It is set before Run; nil for none.
	Enforcer *enforcer.Enforcer
	// Process identifies this start of the entry in its reports.
	Process string

	// ending is closed when the process ends, ended once that was reported.
	ending, ended chan struct{}
	endOnce       sync.Once

	mutex sync.Mutex
	// peers holds the other entries by name. One that is missing from the list of members
	// stays for unlistedGrace: it may only have lost its connection to the service.
	peers map[string]*peer
	// lastReports holds the newest report of each entry, and when it was received.
	lastReports map[string]receivedReport

	// due receives when a report has something to say that does not depend on the load.
	due chan struct{}
}

// NewGossiper returns a gossiper without peers.
func NewGossiper(common kernel.Common, serverPlacer *placer.Placer, address string) *Gossiper {
	return &Gossiper{
		Common:      common.ForPart("gossiper"),
		Placer:      serverPlacer,
		Address:     address,
		peers:       map[string]*peer{},
		lastReports: map[string]receivedReport{},
		due:         make(chan struct{}, 1),
		ending:      make(chan struct{}),
		ended:       make(chan struct{}),
	}
}

// ReportSoon sends the next report as soon as the interval allows, whether the load changes
// or not.
func (gossiper *Gossiper) ReportSoon() {
	select {
	case gossiper.due <- struct{}{}:
	default:
	}
}

// SetPeers sets the addresses of the listed entries, by name. Peers that are no longer
// listed are dropped after unlistedGrace.
func (gossiper *Gossiper) SetPeers(addresses map[string]string) {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	for name, address := range addresses {
		resolved, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			gossiper.Log.WithField("Peer", name).WithError(err).Warn("Peer has an invalid address; it gets no reports there.")

			continue
		}

		gossiper.peers[name] = &peer{address: resolved, listed: time.Now()}
	}

	if gossiper.Enforcer != nil {
		gossiper.Enforcer.SetPeers(slices.Sorted(maps.Keys(addresses)), time.Now())
	}

	for name, known := range gossiper.peers {
		if _, listed := addresses[name]; !listed && time.Since(known.listed) > unlistedGrace {
			delete(gossiper.peers, name)
			delete(gossiper.lastReports, name)
		}
	}
}

// Run sends and receives reports until the context ends.
func (gossiper *Gossiper) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", gossiper.Address)
	if err != nil {
		return errors.Annotate(err, "address for reports")
	}

	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Annotate(err, "listening for reports")
	}

	stop := context.AfterFunc(ctx, func() { socket.Close() })
	defer stop()

	go gossiper.receive(ctx, socket)
	gossiper.send(ctx, socket)

	return nil
}

func (gossiper *Gossiper) send(ctx context.Context, socket *net.UDPConn) {
	incarnation, changes, marks := time.Now().UnixNano(), newLoadChanges(), newMarkChanges()
	report := Report{Incarnation: incarnation}

	defer close(gossiper.ended)
	defer func() { gossiper.reportEnd(socket, report) }()

	for ctx.Err() == nil && !gossiper.isEnding() {
		changed := gossiper.Placer.LoadChanged()
		report = Report{Instance: gossiper.Instance, Incarnation: incarnation, Number: report.Number + 1}
		changes.fill(&report, gossiper.Placer.OwnLoads(), time.Now())

		if report.Since == 0 {
			report.DataCentre, report.Process = gossiper.DataCentre, gossiper.Process
		}

		report.Departures = gossiper.Placer.Departures()
		report.Limits = gossiper.Placer.ReportedLimits()
		report.Measures = gossiper.Placer.Measures()

		if gossiper.NewestRevisions != nil {
			marks.fill(&report, gossiper.NewestRevisions())
		}

		if gossiper.Verifications != nil {
			report.Verifications = gossiper.Verifications()
		}

		if gossiper.Findings != nil {
			report.Findings = gossiper.Findings()
		}

		if gossiper.Enforcer != nil {
			report.Caps = gossiper.Enforcer.Report(time.Now())
		}

		gossiper.broadcast(socket, report)

		interval := gossiper.reportInterval()
		kernel.Pause(ctx, interval)

		select {
		case <-changed:
		case <-gossiper.due:
		case <-gossiper.ending:
		case <-time.After(gossiper.unchangedPause(interval)):
		case <-ctx.Done():
		}
	}
}

// unchangedPause is how long a report may be delayed beyond the interval while the load does not
// change. Peers take an entry that enforces caps for silent sooner than others.
func (gossiper *Gossiper) unchangedPause(interval time.Duration) time.Duration {
	if gossiper.Enforcer != nil && gossiper.Enforcer.Active() {
		return max(0, enforcer.ReportInterval-interval)
	}

	return maxReportInterval
}

// reportInterval is the shortest time between two reports, given the number of peers.
func (gossiper *Gossiper) reportInterval() time.Duration {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	return gossiper.reportIntervalLocked()
}

// reportIntervalLocked is reportInterval for callers that hold the mutex.
func (gossiper *Gossiper) reportIntervalLocked() time.Duration {
	return kernel.FleetPause(minReportInterval, maxReportInterval, len(gossiper.peers), maxDatagramsPerSecond)
}

func (gossiper *Gossiper) broadcast(socket *net.UDPConn, report Report) {
	encoded, err := json.Marshal(report)
	if err == nil && len(encoded) > maxDatagramBytes && report.Caps != nil {
		gossiper.Log.WithField("Bytes", len(encoded)).Warn("Load report is sent without the use of caps: it would be too long.")

		report.Caps = nil
		encoded, err = json.Marshal(report)
	}

	if err != nil || len(encoded) > maxDatagramBytes {
		gossiper.Log.WithField("Bytes", len(encoded)).WithError(err).Warn("Load report is not sent: it cannot be encoded or is too long.")

		return
	}

	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	for _, peer := range gossiper.peers {
		// Errors are ignored: the next report replaces a lost one.
		_, _ = socket.WriteToUDP(encoded, peer.address)
	}
}

func (gossiper *Gossiper) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)

	for ctx.Err() == nil {
		count, _, err := socket.ReadFromUDP(buffer)
		if err != nil {
			// The socket reports an error here when a sent datagram could not be
			// delivered. The next read succeeds.
			kernel.Pause(ctx, time.Millisecond)

			continue
		}

		report := Report{}
		if err := json.Unmarshal(buffer[:count], &report); err != nil {
			gossiper.Metrics.Counter("unreadable_reports").Inc(1)

			continue
		}

		gossiper.applyReport(report)
	}
}

// applyReport applies a peer's report, unless a newer one was received before.
func (gossiper *Gossiper) applyReport(report Report) {
	gossiper.mutex.Lock()

	last := gossiper.lastReports[report.Instance]
	known := gossiper.peers[report.Instance] != nil
	outdated := last.supersedes(report)

	if known && !outdated {
		last = last.updated(report)
		gossiper.lastReports[report.Instance] = last
	}

	gossiper.mutex.Unlock()

	if !known || outdated {
		return
	}

	if gossiper.ApplyPeerRevisions != nil {
		gossiper.ApplyPeerRevisions(report.Marks)
	}

	if gossiper.ApplyPeerVerifications != nil {
		gossiper.ApplyPeerVerifications(report.Instance, report.Verifications)
	}

	if gossiper.ApplyFindings != nil {
		gossiper.ApplyFindings(report.Instance, report.Findings)
	}

	// Process and loads are known once a full report has arrived.
	if last.loads != nil {
		if gossiper.Enforcer != nil {
			gossiper.Enforcer.ApplyReport(report.Instance, last.process, report.Caps, time.Now())
		}

		gossiper.Placer.ApplyReport(report.Instance, last.dataCentre, last.loads)
	}

	gossiper.Placer.ApplyReportedLimits(report.Instance, report.Limits)
	gossiper.Placer.ApplyMeasures(report.Measures)
	gossiper.Placer.RecordDepartures(report.Departures, "report of "+report.Instance)
}
