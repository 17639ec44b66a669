package placer

import "time"

// find returns a grant at the best server, or nil. The mutex is held.
func (placer *Placer) find(work Work) *Grant {
	servers := placer.service(work.Service).servers
	chooser := placer.chooser(work)

	if server := chooser.choose(servers, false); server != nil {
		return placer.grant(server, false)
	}

	if server := chooser.chooseYielding(servers); server != nil {
		placer.yield(server)

		return placer.grant(server, false)
	}

	if server := chooser.choose(servers, true); server != nil {
		return placer.grant(server, false)
	}

	return nil
}

// yield asks one batch run at the server to stop; its place counts as free.
func (placer *Placer) yield(server *state) bool {
	grant := yielding(server)
	if grant == nil {
		return false
	}

	delete(server.grants, grant)
	server.own.Batch--
	grant.yielded = true
	server.yielded = time.Now()
	close(grant.Yield)

	return true
}

func (placer *Placer) grant(server *state, batch bool) *Grant {
	grant := &Grant{Server: server.Server, Batch: batch, Yield: make(chan struct{}), placer: placer, since: time.Now()}

	if batch {
		server.own.Batch++
		server.grants[grant] = true
	} else {
		server.own.Online++
		placer.service(server.Service).running[grant] = true
	}

	placer.announce()

	return grant
}

func (placer *Placer) release(grant *Grant) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	placer.drop(grant)
	placer.settle()
}

// drop gives a place back, with the mutex held.
func (placer *Placer) drop(grant *Grant) {
	if !grant.Batch {
		service := placer.service(grant.Server.Service)
		delete(service.running, grant)
		service.stay = mean(service.stay, time.Since(grant.since))
	}

	server := placer.servers[grant.Server.ID]
	if server == nil || server.Incarnation != grant.Server.Incarnation {
		return
	}

	switch {
	case !grant.Batch:
		server.own.Online--
	case !grant.yielded:
		delete(server.grants, grant)
		server.own.Batch--
	}
}
