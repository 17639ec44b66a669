package app

import (
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/placer"
	"limpetrail/platform"
)

// serverList reads the platform's list of backend servers. Of thousands few
// change at a time, and each is read once a revision.
type serverList struct {
	// read holds what is on the list now, and nothing else, by ID.
	read map[string]listedServer
}

// listedServer is one item as it was read.
type listedServer struct {
	revision keeper.Revision
	server   placer.Server
	err      error
}

func newServerList() *serverList {
	return &serverList{read: map[string]listedServer{}}
}

// take returns the servers of the list, and hands items that cannot be read to
// complain.
func (list *serverList) take(copied follower.Copy, complain func(keeper.Item, error)) []placer.Server {
	read, servers := make(map[string]listedServer, len(copied)), make([]placer.Server, 0, len(copied))

	for id, item := range copied {
		known, found := list.read[id]
		if !found || known.revision != item.Revision {
			server, err := platform.DecodeServer(id, item.Value)
			known = listedServer{revision: item.Revision, server: server, err: err}
		}

		read[id] = known

		if known.err != nil {
			complain(item, known.err)

			continue
		}

		servers = append(servers, known.server)
	}

	list.read = read

	return servers
}
