package app

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/bookkeeper"
	"limpetrail/custodian"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/loader"
	"limpetrail/meter"
	"limpetrail/registrar"
	"limpetrail/relayer"
)

// maxDiskShare is the share of a holder's disk that jobs may fill.
const maxDiskShare = 0.8

func newHolderMeter(settings loader.Holder) *meter.Meter {
	return meter.NewMeter(settings.Instance.Name, settings.Instance.DataCentre)
}

func newHolderCommon(settings loader.Holder, metrics *meter.Meter) (kernel.Common, error) {
	logger, err := newStdoutLogger(settings.Log)
	if err != nil {
		return kernel.Common{}, errors.Trace(err)
	}

	return kernel.NewCommon(settings.Instance.Name, settings.Instance.DataCentre, logger, metrics.Scope), nil
}

func newHolderRelay(common kernel.Common, settings loader.Holder) *relayer.Relay {
	return relayer.NewRelay(common, parseSeeds(settings.Listen.Seeds, settings.Listen.Operations))
}

func newHolderClient(common kernel.Common, settings loader.Holder, relay *relayer.Relay) (*keeper.CatalogClient, error) {
	return newPlatformClient(common, settings.Catalog, settings.Calls, relay)
}

func newHolderMember(settings loader.Holder) registrar.Member {
	return registrar.Member{
		Name:        settings.Instance.Name,
		Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		Operations:  settings.Listen.Operations,
		DataCentre:  settings.Instance.DataCentre,
		Custodian:   true,
	}
}

func newHolderFolder(settings loader.Holder) (*archiver.Folder, error) {
	return archiver.NewFolder(filepath.Join(settings.Data.Folder, "jobs"), int64(maxDiskShare*float64(settings.Data.Megabytes<<20)))
}

// newCopies stores copies of prefixes in a separate folder.
func newCopies(common kernel.Common, settings loader.Holder) (*relayer.Copies, error) {
	folder, err := archiver.NewFolder(filepath.Join(settings.Data.Folder, "copies"), 0)
	if err != nil {
		return nil, errors.Trace(err)
	}

	return relayer.NewCopies(common, folder)
}

func newCustodian(common kernel.Common, folder *archiver.Folder, client *keeper.CatalogClient, settings loader.Holder) (*custodian.Custodian, error) {
	created, err := custodian.NewCustodian(common, folder, settings.Jobs.Retention, func(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome {
		return bookkeeper.CreateDelivered(ctx, client, job)
	})

	return created, errors.Trace(err)
}
