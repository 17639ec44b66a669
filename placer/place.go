package placer

import "time"

// findPlace grants a place on the best server, or returns nil. It prefers free places, then
// places of batch work, then servers whose batch owner does not report. The mutex is held.
func (placer *Placer) findPlace(work Work) *Grant {
	servers := placer.service(work.Service).servers
	chooser := placer.newChooser(work)

	if server := chooser.chooseFree(servers, false); server != nil {
		return placer.newGrant(server, false)
	}

	if server := chooser.choosePreemptible(servers); server != nil {
		placer.preempt(server)

		return placer.newGrant(server, false)
	}

	if server := chooser.chooseFree(servers, true); server != nil {
		return placer.newGrant(server, false)
	}

	return nil
}

// preempt asks one batch run on the server to stop and counts its place as free. It
// returns false if this entry has none there.
func (placer *Placer) preempt(server *serverState) bool {
	grant := nextPreempted(server)
	if grant == nil {
		return false
	}

	delete(server.grants, grant)
	server.own.Batch--
	grant.reclaimed = true
	server.preemptedAt = time.Now()
	close(grant.Preempted)

	return true
}

// newGrant grants a place on the server and records the run. The mutex is held.
func (placer *Placer) newGrant(server *serverState, batch bool) *Grant {
	grant := &Grant{Server: server.Server, Batch: batch, Preempted: make(chan struct{}), placer: placer, grantedAt: time.Now()}
	grant.Alone = server.total() == 0
	server.take(grant.grantedAt)

	if batch {
		server.own.Batch++
		server.grants[grant] = true
	} else {
		server.own.Online++
		placer.service(server.Service).running[grant] = true
	}

	server.recordFree(grant.grantedAt)
	grant.startMeasuring(server)
	placer.signalLoadChange()

	return grant
}

func (placer *Placer) release(grant *Grant) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.releasePlace(grant)
	placer.reconcile()
}

// releasePlace ends the run of a grant. The mutex is held.
func (placer *Placer) releasePlace(grant *Grant) {
	if !grant.Batch {
		service := placer.service(grant.Server.Service)
		delete(service.running, grant)

		if !service.runLearned {
			service.meanRun = movingAverage(service.meanRun, time.Since(grant.grantedAt))
		}
	}

	server := placer.servers[grant.Server.ID]
	if server == nil || server.Incarnation != grant.Server.Incarnation {
		return
	}

	switch {
	case !grant.Batch:
		server.own.Online--
	case !grant.reclaimed:
		delete(server.grants, grant)
		server.own.Batch--
	}
}
