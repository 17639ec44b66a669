package app

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/bookkeeper"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/platform"
	"limpetrail/registrar"
)

// followers returns the followers of the store by prefix.
func (gateway *Gateway) followers() map[string]*follower.Follower {
	borrow, share := follower.WithFallback(gateway.Relay.Copy), follower.WithShare(gateway.Sharer.Share)
	prompt := max(leastWait, gateway.Settings.Follow.NoticeSilence-silenceMargin)
	calm := follower.WithLongWatches(gateway.calm)
	gateway.copies = map[string]*follower.Follower{}

	for _, made := range []*follower.Follower{
		follower.NewFollower(gateway.Common, gateway.Client, platform.PrefixOperators, gateway.applyOperators, borrow, share, follower.WithWatchWait(prompt), calm),
		follower.NewFollower(gateway.Common, gateway.Client, platform.PrefixServers, gateway.applyServers, borrow, share, follower.WithRemovalDelay(), follower.WithWatchWait(prompt), calm, gateway.paced(serversPause, longestPause)),
		follower.NewFollower(gateway.Common, gateway.Client, registrar.MembersPrefix, gateway.applyMembers, borrow, share, follower.WithRemovalDelay(), follower.WithWatchWait(membersWait), calm, gateway.paced(0, longestMembersPause)),
		follower.NewFollower(gateway.Common, gateway.Client, bookkeeper.PrefixHeads, gateway.Batcher.SetHeads, follower.WithWatchWait(prompt), gateway.paced(headsPause, longestHeadsPause)),
	} {
		gateway.copies[made.Prefix] = made
	}

	gateway.Gossiper.NewestRevisions, gateway.Gossiper.ApplyPeerRevisions = gateway.marks, gateway.notice

	return gateway.copies
}

// calm tells whether a silent watch here would be noticed by others: enough of them
// watch the same and are heard, and the key-value service answers.
func (gateway *Gateway) calm() bool {
	return gateway.Placer.ReportingPeers() >= calmPeers && !gateway.Client.FailedWithin(calmTime)
}

// marks returns the newest changes that were seen here, by prefix.
func (gateway *Gateway) marks() map[string]keeper.Revision {
	marks := map[string]keeper.Revision{}

	for prefix, followed := range gateway.copies {
		if followed.LongWatchesAllowed != nil {
			marks[prefix] = followed.NewestRevision()
		}
	}

	return marks
}

// notice takes in the newest changes that another gateway saw.
func (gateway *Gateway) notice(marks map[string]keeper.Revision) {
	for prefix, mark := range marks {
		if followed := gateway.copies[prefix]; followed != nil {
			followed.ApplyPeerRevision(mark)
		}
	}
}

// paced pauses before each watch by the size of the fleet.
func (gateway *Gateway) paced(least, longest time.Duration) follower.Option {
	return follower.WithPauseBeforeWatch(func() time.Duration {
		return kernel.Paced(least, longest, int(gateway.known.Load()), watchRate)
	})
}

// copied returns what this process last saw below a prefix.
func (gateway *Gateway) copied(prefix string) ([]keeper.Item, keeper.Revision, bool) {
	if found := gateway.copies[prefix]; found != nil {
		return found.Snapshot()
	}

	return nil, 0, false
}

// applyOperators takes in what operators wrote.
func (gateway *Gateway) applyOperators(copied follower.Copy) {
	item, found := copied[platform.KeyConfiguration]
	if !found {
		return
	}

	document, err := platform.DecodeDocument(item.Value)
	if err != nil {
		gateway.complain(item, err)

		return
	}

	gateway.Configuration.Apply(document)
}

func (gateway *Gateway) applyServers(copied follower.Copy) {
	gateway.Placer.UpdateServers(gateway.servers.take(copied, gateway.complain))
}

func (gateway *Gateway) applyMembers(copied follower.Copy) {
	members, err := registrar.DecodeMembers(copied)
	if err != nil {
		gateway.Log.WithError(err).Warn("Entry of a member cannot be read.")
	}

	addresses, relays, live := map[string]string{}, []string{}, map[string]bool{}
	owners, entries := map[string]string{}, map[string]string{}

	custodians := map[string]string{}

	for name, member := range members {
		if member.Custodian {
			custodians[name] = member.Operations
			continue
		}

		live[member.ProcessID()] = true

		if name != gateway.Instance {
			addresses[name] = member.Address
			relays = append(relays, member.Operations)
			owners[member.ProcessID()] = member.Operations
			entries[name] = member.DataCentre
		}
	}

	if gateway.known.Swap(int64(len(members))) != int64(len(members)) {
		gateway.Log.WithField("Members", len(members)).Info("Members are known.")
	}

	// Gateways are asked first: holders lose the store with other instances.
	gateway.Relay.SetPeers(append(relays, slices.Sorted(maps.Values(custodians))...))
	gateway.Depositor.SetCustodians(custodians)
	gateway.Sharer.SetHolders(slices.Sorted(maps.Values(custodians)))
	gateway.Gossiper.SetPeers(addresses)
	gateway.Placer.SetListedPeers(entries)
	gateway.Batcher.SetMembers(live, gateway.copies[registrar.MembersPrefix].SyncedRevision())
	gateway.Inquirer.SetMembers(owners)
	gateway.Conveyer.SetMembers(owners)
	gateway.Registrar.CheckEntry(members)
}

// complain logs an unreadable item once for each of its revisions.
func (gateway *Gateway) complain(item keeper.Item, err error) {
	gateway.complaints.Lock()
	defer gateway.complaints.Unlock()

	if gateway.complained[item.Key] != item.Revision {
		gateway.complained[item.Key] = item.Revision
		gateway.Log.WithFields(logrus.Fields{"Key": item.Key, "Revision": item.Revision}).WithError(err).Warn("Item cannot be read and is passed over.")
	}
}
