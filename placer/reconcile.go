package placer

import "time"

// reconcile updates all decisions after a change: it drops expired reports, preempts batch
// work on overfull servers and on those whose batch owner doesn't report, and grants free
// places to queued work. The mutex is held.
func (placer *Placer) reconcile() {
	placer.expireReports()

	now := time.Now()

	for _, service := range placer.services {
		for _, server := range service.servers {
			server.recordFree(now)

			for (server.free() < 0 || server.ownerSilent) && placer.preempt(server) {
				continue
			}
		}

		placer.serveQueue(service)
		placer.wakeQueue(service, time.Now())
	}

	placer.signalLoadChange()
	close(placer.batchCapacityChanged)
	placer.batchCapacityChanged = make(chan struct{})
}

// serveQueue grants places to queued work in order, until the first work in the queue
// finds no place. Work that only some servers can take keeps no other work waiting.
func (placer *Placer) serveQueue(service *service) {
	for position := 0; position < len(service.queue.waiting); {
		queued := service.queue.waiting[position]
		grant := placer.findPlace(queued.work)

		switch {
		case grant != nil:
			service.queue.remove(queued)
			queued.granted <- grant
		case queued.work.Continues || len(queued.work.Exclude) > 0:
			position++
		default:
			return
		}
	}
}

// pruneReports drops expired reports and reconciles if there were any. Without it, the last
// report of an entry that died would stay if no other report arrived. The mutex is held.
func (placer *Placer) pruneReports() {
	if placer.expireReports() {
		placer.reconcile()
	}
}

// expireReports drops the reports older than reportLifetime and reports whether there were
// any. The mutex is held.
func (placer *Placer) expireReports() bool {
	now, expired := time.Now(), false

	for peer, report := range placer.reports {
		if now.Sub(report.receivedAt) <= reportLifetime {
			continue
		}

		placer.subtractLoads(report)
		delete(placer.reports, peer)
		placer.Log.WithField("Peer", peer).Info("Load reports from another entry stopped.")

		expired = true
	}

	if expired {
		placer.assignOwners()
	}

	return expired
}

// addLoads adds a report to the load of the others. It touches only the servers that the
// report names: with many entries there are hundreds of reports a second and thousands of
// servers.
func (placer *Placer) addLoads(report report) {
	for id, load := range report.loads {
		if server := placer.servers[id]; server != nil {
			server.others.Online += load.Online
			server.others.Batch += load.Batch
		}
	}
}

// subtractLoads removes a report from the load of the others.
func (placer *Placer) subtractLoads(report report) {
	for id, load := range report.loads {
		if server := placer.servers[id]; server != nil {
			server.others.Online -= load.Online
			server.others.Batch -= load.Batch
		}
	}
}

// reportedLoad returns the sum of the loads of a server in all kept reports. It is the
// initial load of a server that is new on the list.
func (placer *Placer) reportedLoad(id string) Load {
	sum := Load{}

	for _, report := range placer.reports {
		load := report.loads[id]
		sum.Online += load.Online
		sum.Batch += load.Batch
	}

	return sum
}

// assignOwners assigns each server its batch owner among the entries. The mutex is held.
func (placer *Placer) assignOwners() {
	owners := placer.owners()

	for _, server := range placer.servers {
		placer.assignOwner(server, owners)
	}
}

// owners returns the data centres of the entries that can be batch owners, by name: this
// one, and those that report or are listed. A listed entry that is cut off from this one
// still runs work. The function also updates reportMissing. The mutex is held.
func (placer *Placer) owners() map[string]string {
	owners := map[string]string{placer.Instance: placer.DataCentre}
	for entry, dataCentre := range placer.listedPeers {
		owners[entry] = dataCentre
	}

	placer.reportMissing = false

	for entry := range owners {
		placer.reportMissing = placer.reportMissing || !placer.hasReport(entry)
	}

	for entry, report := range placer.reports {
		owners[entry] = report.dataCentre
	}

	return owners
}

func (placer *Placer) assignOwner(server *serverState, owners map[string]string) {
	owner := ownerOf(server, owners)
	server.owned, server.ownerSilent = owner == placer.Instance, !placer.hasReport(owner)
	server.rank = placer.rankOf(server, owners)
	placer.shareLimit(server, owners)
}

// hasReport reports whether this entry knows the load of an entry: its own, or one with a
// fresh report.
func (placer *Placer) hasReport(entry string) bool {
	_, reported := placer.reports[entry]

	return reported || entry == placer.Instance
}
