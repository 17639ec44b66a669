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

// followers creates the followers of the key-value service's prefixes.
func (gateway *Gateway) followers() map[string]*follower.Follower {
	fallback, share := follower.WithFallback(gateway.Relay.Copy), follower.WithShare(gateway.Sharer.Share)
	watchWait := max(minWatchWait, gateway.Settings.Follow.NoticeSilence-watchSilenceMargin)
	longWatches := follower.WithLongWatches(gateway.longWatchesAllowed)
	serverBounds := follower.RemovalBounds{DropWithin: gateway.Settings.Follow.DropRemoved, RejoinWithin: gateway.Settings.Follow.NoticeSilence}
	gateway.followersByPrefix = map[string]*follower.Follower{}

	for _, prefixFollower := range []*follower.Follower{
		follower.NewFollower(gateway.Common, gateway.Client, platform.PrefixOperators, gateway.applyOperators, fallback, share, follower.WithWatchWait(watchWait), longWatches, gateway.verifiedWithin(gateway.Settings.Follow.ApplyWithin)),
		follower.NewFollower(gateway.Common, gateway.Client, platform.PrefixServers, gateway.applyServers, fallback, share, follower.WithRemovalDelay(serverBounds), follower.WithWatchWait(watchWait), longWatches, gateway.verifiedWithin(gateway.Settings.Follow.DropRemoved), gateway.pauseByFleetSize(serversPause, maxServersPause)),
		follower.NewFollower(gateway.Common, gateway.Client, registrar.MembersPrefix, gateway.applyMembers, fallback, share, follower.WithRemovalDelay(follower.RemovalBounds{}), follower.WithWatchWait(membersWatchWait), longWatches, gateway.verifiedWithin(membersBound), gateway.pauseByFleetSize(0, maxMembersPause)),
		follower.NewFollower(gateway.Common, gateway.Client, bookkeeper.PrefixHeads, gateway.Batcher.SetHeads, follower.WithWatchWait(watchWait), gateway.verifiedWithin(headsBound), gateway.pauseByFleetSize(headsPause, maxHeadsPause)),
	} {
		gateway.followersByPrefix[prefixFollower.Prefix] = prefixFollower
	}

	gateway.Handler.IsOutdated = gateway.followersByPrefix[platform.PrefixOperators].IsOutdated
	gateway.Gossiper.NewestRevisions, gateway.Gossiper.ApplyPeerRevisions = gateway.newestRevisions, gateway.applyPeerRevisions
	gateway.Gossiper.Verifications, gateway.Gossiper.ApplyPeerVerifications = gateway.verifications, gateway.applyPeerVerifications

	return gateway.followersByPrefix
}

// longWatchesAllowed tells whether peers' reports would reveal a watch that missed a
// change. This requires that enough peers, which watch the same prefixes, report, and that
// the key-value service answers.
func (gateway *Gateway) longWatchesAllowed() bool {
	return gateway.Placer.ReportingPeers() >= longWatchMinPeers && !gateway.Client.FailedWithin(longWatchFailureFreeTime)
}

// newestRevisions returns the revisions of the newest changes seen here, by prefix.
func (gateway *Gateway) newestRevisions() map[string]keeper.Revision {
	revisions := map[string]keeper.Revision{}

	for prefix, prefixFollower := range gateway.followersByPrefix {
		revisions[prefix] = prefixFollower.NewestRevision()
	}

	return revisions
}

// applyPeerRevisions applies the revisions of the newest changes that a peer saw.
func (gateway *Gateway) applyPeerRevisions(revisions map[string]keeper.Revision) {
	for prefix, revision := range revisions {
		if prefixFollower := gateway.followersByPrefix[prefix]; prefixFollower != nil {
			prefixFollower.ApplyPeerRevision(revision)
		}
	}
}

// verifiedWithin verifies a prefix in turn with the gateways that report to this one.
func (gateway *Gateway) verifiedWithin(bound time.Duration) follower.Option {
	return func(prefixFollower *follower.Follower) {
		follower.WithVerification(bound, gateway.Gossiper.TurnAfter)(prefixFollower)
		follower.WithVerified(gateway.Gossiper.ReportSoon)(prefixFollower)
	}
}

// verifications returns what this process has verified lately, by prefix.
func (gateway *Gateway) verifications() map[string]follower.Verification {
	verifications := map[string]follower.Verification{}

	for prefix, prefixFollower := range gateway.followersByPrefix {
		if verification, recent := prefixFollower.Verification(); recent {
			verifications[prefix] = verification
		}
	}

	return verifications
}

// applyPeerVerifications applies what a peer has verified.
func (gateway *Gateway) applyPeerVerifications(peer string, verifications map[string]follower.Verification) {
	for prefix, verification := range verifications {
		if prefixFollower := gateway.followersByPrefix[prefix]; prefixFollower != nil {
			prefixFollower.ApplyPeerVerification(peer, verification)
		}
	}
}

// pauseByFleetSize pauses before each watch, longer in a larger fleet, to keep the
// fleet's total rate near fleetWatchesPerSecond.
func (gateway *Gateway) pauseByFleetSize(minPause, maxPause time.Duration) follower.Option {
	return follower.WithPauseBeforeWatch(func() time.Duration {
		return kernel.FleetPause(minPause, maxPause, int(gateway.memberCount.Load()), fleetWatchesPerSecond)
	})
}

// snapshot returns this process's last copy of a prefix, its revision and whether there
// is one.
func (gateway *Gateway) snapshot(prefix string) ([]keeper.Item, keeper.Revision, bool) {
	if prefixFollower := gateway.followersByPrefix[prefix]; prefixFollower != nil {
		return prefixFollower.Snapshot()
	}

	return nil, 0, false
}

// applyOperators puts the configuration that operators stored in force.
func (gateway *Gateway) applyOperators(current follower.Copy) {
	item, found := current[platform.KeyConfiguration]
	if !found {
		return
	}

	document, err := platform.DecodeDocument(item.Value)
	if err != nil {
		gateway.logUnreadable(item, err)

		return
	}

	gateway.Configuration.Apply(document)

	if gateway.Enforcer != nil {
		gateway.Enforcer.SetCaps(gateway.Configuration.Document().Workspaces)
	}
}

func (gateway *Gateway) applyServers(current follower.Copy) {
	gateway.Placer.UpdateServers(gateway.servers.update(current, gateway.logUnreadable))
}

func (gateway *Gateway) applyMembers(current follower.Copy) {
	members, err := registrar.DecodeMembers(current)
	if err != nil {
		gateway.Log.WithError(err).Warn("Record of a member cannot be decoded and is ignored.")
	}

	peerAddresses, operationsAddresses, liveProcesses := map[string]string{}, []string{}, map[string]bool{}
	operationsByProcess, dataCentres := map[string]string{}, map[string]string{}

	custodians := map[string]string{}

	for name, member := range members {
		if member.Custodian {
			custodians[name] = member.Operations
			continue
		}

		liveProcesses[member.ProcessID()] = true

		if name != gateway.Instance {
			peerAddresses[name] = member.Address
			operationsAddresses = append(operationsAddresses, member.Operations)
			operationsByProcess[member.ProcessID()] = member.Operations
			dataCentres[name] = member.DataCentre
		}
	}

	if gateway.memberCount.Swap(int64(len(members))) != int64(len(members)) {
		gateway.Log.WithField("Members", len(members)).Info("Number of members changed.")
	}

	// The relay asks gateways before holders, because holders lose the key-value service
	// together with the other instances.
	gateway.Relay.SetPeers(append(operationsAddresses, slices.Sorted(maps.Values(custodians))...))
	gateway.Depositor.SetCustodians(custodians)
	gateway.Resumer.SetHolders(custodians)
	gateway.Sharer.SetHolders(slices.Sorted(maps.Values(custodians)))
	gateway.Gossiper.SetPeers(peerAddresses)
	gateway.Placer.SetListedPeers(dataCentres)
	gateway.Batcher.SetMembers(liveProcesses, gateway.followersByPrefix[registrar.MembersPrefix].SyncedRevision())
	gateway.Inquirer.SetMembers(operationsByProcess)
	gateway.Conveyer.SetMembers(operationsByProcess)
	gateway.Registrar.CheckEntry(members)
}

// logUnreadable logs an unreadable item once for each of its revisions.
func (gateway *Gateway) logUnreadable(item keeper.Item, err error) {
	gateway.loggedMutex.Lock()
	defer gateway.loggedMutex.Unlock()

	if gateway.loggedRevisions[item.Key] != item.Revision {
		gateway.loggedRevisions[item.Key] = item.Revision
		gateway.Log.WithFields(logrus.Fields{"Key": item.Key, "Revision": item.Revision}).WithError(err).Warn("Item cannot be decoded and is ignored.")
	}
}
