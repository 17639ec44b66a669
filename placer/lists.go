package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// UpdateServers replaces the list of servers. The state of servers that stay on the list is kept;
// a server with another incarnation is new.
func (placer *Placer) UpdateServers(servers []Server) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.recordSoftware(time.Now())

	previous, owners := placer.servers, placer.owners()
	placer.servers = map[string]*serverState{}

	for _, service := range placer.services {
		service.servers = nil
	}

	for _, server := range servers {
		server.Leaving = server.Leaving || placer.isDeparting(server)

		known := previous[server.ID]
		if known == nil || known.Incarnation != server.Incarnation {
			known = &serverState{grants: map[*Grant]bool{}, others: placer.reportedLoad(server.ID)}
			known.limit = placer.limits[serverStart{id: server.ID, incarnation: server.Incarnation}]
			placer.Log.WithFields(logrus.Fields{"BackendServer": server.ID, "Address": server.Address, "Service": server.Service, "Software": server.Software}).Info("Backend server was listed for the first time or with a new incarnation.")
		} else if server.Leaving && !known.Leaving {
			placer.Log.WithField("BackendServer", server.ID).Info("Backend server is leaving.")
		}

		moved := known.DataCentre != server.DataCentre || known.ID != server.ID
		known.Server = server

		// As long as the entries are the same, a server keeps its batch owner.
		if moved {
			placer.assignOwner(known, owners)
		}

		placer.servers[server.ID] = known
		placer.service(server.Service).servers = append(placer.service(server.Service).servers, known)
	}

	placer.pruneDepartures(time.Now())
	placer.pruneLimits(time.Now())
	placer.assignGauges()

	for id := range previous {
		if placer.servers[id] == nil {
			placer.Log.WithField("BackendServer", id).Info("Backend server was removed from the list.")
		}
	}

	placer.reconcile()
}

// SetListedPeers replaces the data centres, by name, of the other entries that the platform
// lists.
func (placer *Placer) SetListedPeers(entries map[string]string) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.listedPeers = entries
	placer.assignOwners()
	placer.reconcile()
}

// ApplyReport applies another entry's report of its load. Entries that report share the servers
// even if the platform doesn't list them.
func (placer *Placer) ApplyReport(peer, dataCentre string, loads map[string]Load) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	previous, known := placer.reports[peer]
	current := report{dataCentre: dataCentre, loads: loads, receivedAt: time.Now()}

	placer.subtractLoads(previous)
	placer.addLoads(current)
	placer.reports[peer] = current

	if !known {
		placer.Log.WithFields(logrus.Fields{"Peer": peer, "DataCentre": dataCentre}).Info("Load reports from another entry started to arrive.")
		placer.assignOwners()
	}

	placer.reconcile()
}

// ReportingPeers returns the number of other entries with a fresh report.
func (placer *Placer) ReportingPeers() int {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.pruneReports()

	return len(placer.reports)
}

// ReportingPeerNames returns the names of the other entries with a fresh report.
func (placer *Placer) ReportingPeerNames() []string {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.pruneReports()

	return slices.Collect(maps.Keys(placer.reports))
}

// OwnLoads returns the load of this entry by server ID.
func (placer *Placer) OwnLoads() map[string]Load {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	loads := map[string]Load{}

	for id, server := range placer.servers {
		if server.own.Total() > 0 {
			loads[id] = server.own
		}
	}

	return loads
}
