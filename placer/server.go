package placer

import "time"

// Server is a backend server as the platform lists it.
type Server struct {
	ID string
	// Incarnation differs for each start of the server.
	Incarnation int64
	Address     string
	DataCentre  string
	Service     string
	// Places is how many requests it runs at once.
	Places int
	// Leaving servers take no new work.
	Leaving bool
}

// Load is what one entry runs at a server.
type Load struct {
	Online int `json:",omitempty"`
	Batch  int `json:",omitempty"`
}

// Total is all that runs.
func (load Load) Total() int {
	return load.Online + load.Batch
}

// state is a server and what is known of it.
type state struct {
	Server
	// own is what this entry runs there.
	own Load
	// others is the sum of what the reports that are kept say, at all times.
	others Load
	// home tells that this entry may fill the server with batch work, unheard
	// that an entry does of which nothing is heard.
	home    bool
	unheard bool
	// grants are the batch runs of this entry, which can yield.
	grants map[*Grant]bool
	// yielded is when batch work had to yield here last.
	yielded time.Time
	health  health
}

func (server *state) online() int {
	return server.own.Online + server.others.Online
}

func (server *state) total() int {
	return server.own.Total() + server.others.Total()
}

// free is below 0 at a server that has more than its places.
func (server *state) free() int {
	return server.Places - server.total()
}

// usable tells whether new work may go there.
func (server *state) usable(now time.Time) bool {
	return !server.Leaving && !server.health.suspect() && !now.Before(server.health.fullUntil)
}
