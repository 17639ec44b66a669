package placer

import "time"

// settle brings all decisions up to date after a change: reports that are too
// old, batch work that has to yield, and waiting work. The mutex is held.
func (placer *Placer) settle() {
	placer.expire()

	for _, service := range placer.services {
		for _, server := range service.servers {
			for (server.free() < 0 || server.unheard) && placer.yield(server) {
				continue
			}
		}

		placer.serve(service)
	}

	placer.announce()
	close(placer.room)
	placer.room = make(chan struct{})
}

// serve grants places to waiting work in order.
func (placer *Placer) serve(service *service) {
	for len(service.queue.waiting) > 0 {
		first := service.queue.waiting[0]

		grant := placer.find(first.work)
		if grant == nil {
			return
		}

		service.queue.remove(first)
		first.granted <- grant
	}
}

// prune forgets reports that are too old. An entry that died last is followed by
// no report that would do so. The mutex is held.
func (placer *Placer) prune() {
	if placer.expire() {
		placer.settle()
	}
}

// expire forgets reports that are too old, and tells whether there were any.
func (placer *Placer) expire() bool {
	now, silent := time.Now(), false

	for peer, report := range placer.reports {
		if now.Sub(report.at) <= reportLife {
			continue
		}

		placer.discharge(report)
		delete(placer.reports, peer)
		placer.Log.WithField("Peer", peer).Info("Another entry is no longer heard.")

		silent = true
	}

	if silent {
		placer.settleHomes()
	}

	return silent
}

// charge adds a report to what others run. Only the servers that it names are
// touched: with many entries reports come hundreds of times a second, and there
// are thousands of servers.
func (placer *Placer) charge(report report) {
	for id, load := range report.loads {
		if server := placer.servers[id]; server != nil {
			server.others.Online += load.Online
			server.others.Batch += load.Batch
		}
	}
}

// discharge takes a report out of what others run.
func (placer *Placer) discharge(report report) {
	for id, load := range report.loads {
		if server := placer.servers[id]; server != nil {
			server.others.Online -= load.Online
			server.others.Batch -= load.Batch
		}
	}
}

// heardOf sums what the reports say of a server that is new on the list.
func (placer *Placer) heardOf(id string) Load {
	sum := Load{}

	for _, report := range placer.reports {
		load := report.loads[id]
		sum.Online += load.Online
		sum.Batch += load.Batch
	}

	return sum
}

// settleHomes shares all servers anew among the entries, with the mutex held.
func (placer *Placer) settleHomes() {
	entries := placer.entries()

	for _, server := range placer.servers {
		placer.settleHome(server, entries)
	}
}

// entries returns the data centres of the entries that share the servers: those
// that are heard or listed, and this one. One that is cut off from this entry
// still runs work.
func (placer *Placer) entries() map[string]string {
	entries := map[string]string{placer.Instance: placer.DataCentre}
	for entry, dataCentre := range placer.listed {
		entries[entry] = dataCentre
	}

	placer.blind = false

	for entry := range entries {
		placer.blind = placer.blind || !placer.hears(entry)
	}

	for entry, report := range placer.reports {
		entries[entry] = report.dataCentre
	}

	return entries
}

func (placer *Placer) settleHome(server *state, entries map[string]string) {
	owner := homeOf(server, entries)
	server.home, server.unheard = owner == placer.Instance, !placer.hears(owner)
}

// hears tells whether this entry knows what another one runs.
func (placer *Placer) hears(entry string) bool {
	_, heard := placer.reports[entry]

	return heard || entry == placer.Instance
}
