package registrar

import (
	"encoding/json"

	"github.com/juju/errors"

	"limpetrail/follower"
)

// Prefix is where members are listed, each under its name.
const Prefix = "limpetrail/members/"

// Member is a process that others have to find.
type Member struct {
	Name string `json:"-"`
	// Incarnation differs for each start of the process.
	Incarnation string
	// Address is the host and port for reports of load.
	Address string
	// Operations is the host and port for calls of other gateways.
	Operations string
	DataCentre string
	// Custodian members hold jobs on a disk and serve no callers.
	Custodian bool `json:",omitempty"`
}

// Process names this start of the member; no other start has the same name.
func (member Member) Process() string {
	return member.Name + "#" + member.Incarnation
}

// Decode reads the members of a copy. Entries that cannot be read are named in
// the error and left out.
func Decode(copied follower.Copy) (map[string]Member, error) {
	members := map[string]Member{}

	var failed error

	for name, item := range copied {
		member := Member{Name: name}
		if err := json.Unmarshal(item.Value, &member); err != nil {
			failed = errors.Annotatef(err, "reading member %s", name)

			continue
		}

		members[name] = member
	}

	return members, failed
}
