package registrar

import (
	"encoding/json"

	"github.com/juju/errors"

	"limpetrail/follower"
)

// MembersPrefix is the key prefix of the members; a member's name follows.
const MembersPrefix = "limpetrail/members/"

// Member is a process that registers itself so that others can reach it.
type Member struct {
	Name string `json:"-"`
	// Incarnation differs for each start of the process.
	Incarnation string
	// Address is the host and port that receives load reports.
	Address string
	// Operations is the host and port that serves calls from other gateways.
	Operations string
	DataCentre string
	// Custodian is true for members that store jobs on a disk and serve no callers.
	Custodian bool `json:",omitempty"`
}

// ProcessID returns an identifier of this incarnation of the member.
func (member Member) ProcessID() string {
	return member.Name + "#" + member.Incarnation
}

// DecodeMembers decodes the members of a copy. Unreadable entries are left out; the
// error names one of them.
func DecodeMembers(copied follower.Copy) (map[string]Member, error) {
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
