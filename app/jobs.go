package app

import (
	"context"

	"github.com/juju/errors"

	"limpetrail/admitter"
	"limpetrail/archiver"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/publisher"
	"limpetrail/puller"
	"limpetrail/scheduler"
	"limpetrail/submitter"
)

func newArchive(common kernel.Common, settings loader.Entry, client *archiver.Client, peers *locator.Peers) (*archiver.Archive, error) {
	options := []archiver.Option{archiver.WithCopies(settings.Data.Copies)}

	if settings.Data.Folder != "" {
		folder, err := archiver.NewFolder(settings.Data.Folder, settings.Data.Limit)
		if err != nil {
			return nil, errors.Trace(err)
		}

		options = append(options, archiver.WithFolder(folder))
	}

	return archiver.NewArchive(common, client, func() []archiver.Holder { return archiveHolders(peers) }, options...), nil
}

// archiveHolders returns the entries as holders of the archive's segments.
func archiveHolders(peers *locator.Peers) []archiver.Holder {
	holders := []archiver.Holder{}
	for _, peer := range peers.Entries() {
		holders = append(holders, archiver.Holder{Name: peer.Name, Address: peer.Address, DataCentre: peer.DataCentre})
	}

	return holders
}

func newScheduler(common kernel.Common, settings loader.Entry, ledger *scheduler.Ledger, archive *archiver.Archive, peers *locator.Peers) *scheduler.Scheduler {
	return scheduler.NewScheduler(common, ledger, archive, scheduler.WithSettings(settings.Jobs), scheduler.WithRank(peers.Rank))
}

func newJanitor(jobs *scheduler.Scheduler, archive *archiver.Archive) *scheduler.Janitor {
	return scheduler.NewJanitor(jobs, archive.Folder)
}

func newSubmitter(common kernel.Common, ledger *scheduler.Ledger, archive *archiver.Archive, documents *publisher.Publisher, canceller *submitter.CancelBroadcaster) *submitter.Submitter {
	return submitter.NewSubmitter(common, ledger, archive, documents, canceller)
}

func newPuller(common kernel.Common, settings loader.Sidecar, runs *executor.Executor, admission admitter.Admitter, client *puller.Client, peers *locator.Peers) *puller.Puller {
	entries := func() []puller.Entry {
		entryList := []puller.Entry{}
		for _, peer := range peers.Entries() {
			entryList = append(entryList, puller.Entry{Name: peer.Name, Address: peer.Address})
		}

		return entryList
	}
	batchCapacity := func() int { return admission.Report().BatchCapacity }

	return puller.NewPuller(common, settings.BackendServer.Service, runs, client, entries, batchCapacity, puller.WithSettings(settings.Batch), puller.WithHealthCheck(func(ctx context.Context) bool {
		if runs.Engine == nil {
			return true
		}

		_, err := runs.Engine.Load(ctx)

		return err == nil
	}))
}
