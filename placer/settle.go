package placer

import "time"

// settle brings all decisions up to date after a change: sums of reports,
// batch work that has to yield, and waiting work. The mutex is held.
func (placer *Placer) settle() {
	placer.sum()

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
	for _, report := range placer.reports {
		if time.Since(report.at) > reportLife {
			placer.settle()

			return
		}
	}
}

// sum adds up the fresh reports of other entries.
func (placer *Placer) sum() {
	silent := false

	for _, server := range placer.servers {
		server.others = Load{}
	}

	for peer, report := range placer.reports {
		if time.Since(report.at) > reportLife {
			delete(placer.reports, peer)
			placer.Log.WithField("Peer", peer).Info("Another entry is no longer heard.")

			silent = true

			continue
		}

		for id, load := range report.loads {
			if server := placer.servers[id]; server != nil {
				server.others.Online += load.Online
				server.others.Batch += load.Batch
			}
		}
	}

	if silent {
		placer.settleHomes()
	}
}

// settleHomes shares the servers anew among the entries that are heard or
// listed, with the mutex held. One that is cut off from this entry still runs
// work.
func (placer *Placer) settleHomes() {
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

	for _, service := range placer.services {
		for _, server := range service.servers {
			owner := homeOf(server, entries)
			server.home, server.unheard = owner == placer.Instance, !placer.hears(owner)
		}
	}
}

// hears tells whether this entry knows what another one runs.
func (placer *Placer) hears(entry string) bool {
	_, heard := placer.reports[entry]

	return heard || entry == placer.Instance
}
