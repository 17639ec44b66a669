package app

import (
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/placer"
	"limpetrail/platform"
)

// serverList decodes the platform's list of backend servers. As few of its thousands of
// items change at a time, it decodes each item only once per revision.
type serverList struct {
	// decoded holds exactly the items of the last list, by ID.
	decoded map[string]decodedServer
}

// decodedServer is the result of decoding one item.
type decodedServer struct {
	revision keeper.Revision
	server   placer.Server
	err      error
}

func newServerList() *serverList {
	return &serverList{decoded: map[string]decodedServer{}}
}

// update returns the servers of the list and passes each item that cannot be decoded to
// reportError.
func (list *serverList) update(current follower.Copy, reportError func(keeper.Item, error)) []placer.Server {
	updated, servers := make(map[string]decodedServer, len(current)), make([]placer.Server, 0, len(current))

	for id, item := range current {
		result, found := list.decoded[id]
		if !found || result.revision != item.Revision {
			server, err := platform.DecodeServer(id, item.Value)
			result = decodedServer{revision: item.Revision, server: server, err: err}
		}

		updated[id] = result

		if result.err != nil {
			reportError(item, result.err)

			continue
		}

		servers = append(servers, result.server)
	}

	list.decoded = updated

	return servers
}
