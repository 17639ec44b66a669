package gossiper

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/placer"
)

const (
	// leastInterval between two reports. Two arrivals at the peak are about
	// that far apart, so that one report rarely carries less than one.
	leastInterval = 20 * time.Millisecond
	// mostDatagrams a second leave an entry while its load changes. Of an entry
	// among many, one report says little of a server's load, so that it may come
	// later: at leastInterval eight others hear of each change, and a hundred
	// within 250 ms.
	mostDatagrams = 400
	// longestInterval between two reports while nothing changes; three lost
	// ones end the life of a report.
	longestInterval = 400 * time.Millisecond
	// unlistedTime is how long an entry that is missing from the list of members
	// still gets reports; longer than the service is usually away.
	unlistedTime = 30 * time.Second
	// maxDatagram holds the loads of some hundred servers.
	maxDatagram = 32 << 10
)

// Report is what one entry runs.
type Report struct {
	Instance   string
	DataCentre string
	// Process names this start of the entry, as the list of members does.
	Process string
	// Incarnation and Number order the reports of an entry.
	Incarnation int64
	Number      int64
	Loads       map[string]placer.Load
	// Departures are the listed servers that said that they leave.
	Departures []placer.Departure `json:",omitempty"`
	// Marks are the newest changes that the entry saw below prefixes of the
	// key-value service.
	Marks map[string]keeper.Revision `json:",omitempty"`
}

// peer is where another entry is reached.
type peer struct {
	address *net.UDPAddr
	// listed is when it was last in the list of members.
	listed time.Time
}

// Gossiper exchanges reports with other entries.
type Gossiper struct {
	kernel.Common
	Placer *placer.Placer
	// Address is the host and port of this entry, for datagrams.
	Address string
	// Marks returns this entry's marks, and Notice takes in those of others. They
	// are set before Run; nil for none.
	Marks  func() map[string]keeper.Revision
	Notice func(marks map[string]keeper.Revision)
	// Process names this start of the entry in its reports.
	Process string

	mutex sync.Mutex
	// peers are the addresses of other entries. They stay while an entry is
	// missing from the list of members: it may only have lost the service.
	peers map[string]*peer
	// heard holds the newest report of each entry, and when it came.
	heard map[string]hearing
}

// NewGossiper returns a gossiper that knows no other entries.
func NewGossiper(common kernel.Common, places *placer.Placer, address string) *Gossiper {
	return &Gossiper{
		Common:  common.ForPart("gossiper"),
		Placer:  places,
		Address: address,
		peers:   map[string]*peer{},
		heard:   map[string]hearing{},
	}
}

// SetPeers takes in the addresses of the other entries, by name.
func (gossiper *Gossiper) SetPeers(addresses map[string]string) {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	for name, address := range addresses {
		resolved, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			gossiper.Log.WithField("Peer", name).WithError(err).Warn("Address of a peer cannot be read.")

			continue
		}

		gossiper.peers[name] = &peer{address: resolved, listed: time.Now()}
	}

	for name, known := range gossiper.peers {
		if _, listed := addresses[name]; !listed && time.Since(known.listed) > unlistedTime {
			delete(gossiper.peers, name)
			delete(gossiper.heard, name)
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
	report := Report{Instance: gossiper.Instance, DataCentre: gossiper.DataCentre, Process: gossiper.Process, Incarnation: time.Now().UnixNano()}

	for ctx.Err() == nil {
		changed := gossiper.Placer.Changed()
		report.Number++
		report.Loads = gossiper.Placer.Own()
		report.Departures = gossiper.Placer.Departures()

		if gossiper.Marks != nil {
			report.Marks = gossiper.Marks()
		}

		gossiper.spread(socket, report)

		kernel.Pause(ctx, gossiper.interval())

		select {
		case <-changed:
		case <-time.After(longestInterval):
		case <-ctx.Done():
		}
	}
}

// interval is the least time between two reports to this many others.
func (gossiper *Gossiper) interval() time.Duration {
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	return gossiper.pause()
}

func (gossiper *Gossiper) pause() time.Duration {
	return kernel.Paced(leastInterval, longestInterval, len(gossiper.peers), mostDatagrams)
}

func (gossiper *Gossiper) spread(socket *net.UDPConn, report Report) {
	encoded, err := json.Marshal(report)
	if err != nil || len(encoded) > maxDatagram {
		gossiper.Log.WithField("Bytes", len(encoded)).WithError(err).Warn("Report is not sent.")

		return
	}

	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()

	for _, peer := range gossiper.peers {
		// A lost datagram is made up for by the next one.
		_, _ = socket.WriteToUDP(encoded, peer.address)
	}
}

func (gossiper *Gossiper) receive(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)

	for ctx.Err() == nil {
		count, _, err := socket.ReadFromUDP(buffer)
		if err != nil {
			// An error of the socket is reported for a datagram that could not
			// be delivered; the next read goes on.
			kernel.Pause(ctx, time.Millisecond)

			continue
		}

		report := Report{}
		if err := json.Unmarshal(buffer[:count], &report); err != nil {
			gossiper.Metrics.Counter("unreadable_reports").Inc(1)

			continue
		}

		gossiper.hear(report)
	}
}

// hear takes in a report, unless a newer one came before it.
func (gossiper *Gossiper) hear(report Report) {
	gossiper.mutex.Lock()

	before := gossiper.heard[report.Instance]
	known := gossiper.peers[report.Instance] != nil
	late := before.after(report)

	if known && !late {
		gossiper.heard[report.Instance] = before.next(report)
	}

	gossiper.mutex.Unlock()

	if known && !late {
		if gossiper.Notice != nil {
			gossiper.Notice(report.Marks)
		}

		gossiper.Placer.Hear(report.Instance, report.DataCentre, report.Loads)
		gossiper.Placer.Depart(report.Departures, "report of "+report.Instance)
	}
}
