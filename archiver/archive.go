package archiver

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
	"limpetrail/recorder"
)

const (
	defaultCopies = 2
	// remoteCallTimeout bounds one call to another holder.
	remoteCallTimeout = 10 * time.Second
)

// Archive stores copies of segments at several holders and reads them from any holder.
type Archive struct {
	kernel.Common

	// Folder is nil on an instance without a disk.
	Folder *Folder
	Remote Remote
	// Holders returns the other instances that may keep segments.
	Holders func() []Holder
	// Copies is the number of data centres that must hold a segment before a
	// record may reference it.
	Copies int
}

// Option configures an Archive.
type Option func(*Archive)

// WithFolder sets the folder for the segments of this instance.
func WithFolder(folder *Folder) Option {
	return func(archive *Archive) { archive.Folder = folder }
}

// WithCopies sets the number of data centres that must hold a segment.
func WithCopies(copies int) Option {
	return func(archive *Archive) { archive.Copies = copies }
}

// NewArchive returns an archive over the holders.
func NewArchive(common kernel.Common, remote Remote, holders func() []Holder, options ...Option) *Archive {
	archive := &Archive{Common: common.ForPart("archiver"), Remote: remote, Holders: holders, Copies: defaultCopies}
	for _, option := range options {
		option(archive)
	}

	return archive
}

// Put stores the data in enough data centres and returns the segment's name. The
// owner is the key of the record that will reference the segment.
func (archive *Archive) Put(ctx context.Context, owner string, data []byte) (string, error) {
	stored := Compress(data)
	name := SegmentName(stored)

	return name, errors.Trace(archive.replicate(ctx, name, owner, stored))
}

// Get returns the data of a segment from any holder. A damaged copy in this
// instance's folder is replaced.
func (archive *Archive) Get(ctx context.Context, name, owner string) ([]byte, error) {
	damaged := false

	if archive.Folder != nil {
		stored, err := archive.Folder.Fetch(name)
		if err == nil {
			return Decompress(stored)
		}

		damaged = errors.Is(err, errors.NotValid)
	}

	stored, err := archive.fetchFromHolders(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if damaged {
		archive.replaceDamaged(name, owner, stored)
	}

	return Decompress(stored)
}

// Repair checks that enough data centres hold the segment, and adds copies if not.
func (archive *Archive) Repair(ctx context.Context, name, owner string) error {
	dataCentres := map[string]bool{}

	if archive.Folder != nil {
		if _, err := archive.Folder.Fetch(name); err == nil {
			dataCentres[archive.DataCentre] = true
		}
	}

	for _, holder := range archive.rankedHolders(name) {
		if dataCentres[holder.DataCentre] {
			continue
		}

		if len(dataCentres) >= archive.Copies {
			return nil
		}

		probeCtx, cancel := context.WithTimeout(ctx, remoteCallTimeout)
		found, err := archive.Remote.Probe(probeCtx, holder, name)
		cancel()

		if err == nil && found {
			dataCentres[holder.DataCentre] = true
		}
	}

	if len(dataCentres) >= archive.Copies {
		return nil
	}

	stored, err := archive.fetchFromAny(ctx, name)
	if err != nil {
		return errors.Trace(err)
	}

	archive.Log.WithField("Segment", name).Info("Copying a segment to more holders, as too few data centres hold it.")
	archive.Recorder.Record(recorder.Event{Part: "archiver", Kind: recorder.KindRepaired, Details: []string{"Segment=" + name}})

	return errors.Trace(archive.replicate(ctx, name, owner, stored))
}

// replicate stores the segment in this instance's folder and at holders in other data
// centres, until enough data centres hold it.
func (archive *Archive) replicate(ctx context.Context, name, owner string, stored []byte) error {
	dataCentres := map[string]bool{}
	failures := []string{}

	if archive.Folder != nil {
		if err := archive.Folder.Store(name, owner, stored); err == nil {
			dataCentres[archive.DataCentre] = true
		} else {
			failures = append(failures, archive.Instance+": "+err.Error())
		}
	}

	for _, holder := range archive.rankedHolders(name) {
		if len(dataCentres) >= archive.Copies {
			break
		}

		if dataCentres[holder.DataCentre] {
			continue
		}

		callCtx, cancel := context.WithTimeout(ctx, remoteCallTimeout)
		err := archive.Remote.Store(callCtx, holder, name, owner, stored)
		cancel()

		if err != nil {
			failures = append(failures, holder.Name+": "+err.Error())

			continue
		}

		dataCentres[holder.DataCentre] = true
	}

	if len(dataCentres) < archive.Copies {
		return errors.QuotaLimitExceededf("segment held in %d of %d data centres (%s)", len(dataCentres), archive.Copies, strings.Join(failures, "; "))
	}

	return nil
}

// fetchFromAny returns the stored bytes from this instance's folder or any holder.
func (archive *Archive) fetchFromAny(ctx context.Context, name string) ([]byte, error) {
	if archive.Folder != nil {
		if stored, err := archive.Folder.Fetch(name); err == nil {
			return stored, nil
		}
	}

	return archive.fetchFromHolders(ctx, name)
}

// fetchFromHolders asks the holders in turn and skips copies whose hash differs from
// the name.
func (archive *Archive) fetchFromHolders(ctx context.Context, name string) ([]byte, error) {
	failures := []string{}

	for _, holder := range archive.rankedHolders(name) {
		callCtx, cancel := context.WithTimeout(ctx, remoteCallTimeout)
		stored, err := archive.Remote.Fetch(callCtx, holder, name)
		cancel()

		switch {
		case err != nil:
			failures = append(failures, holder.Name+": "+err.Error())
		case SegmentName(stored) != name:
			failures = append(failures, holder.Name+": damaged")
		default:
			return stored, nil
		}
	}

	return nil, errors.NotFoundf("segment %s (%s)", name, strings.Join(failures, "; "))
}

func (archive *Archive) replaceDamaged(name, owner string, stored []byte) {
	if err := archive.Folder.Store(name, owner, stored); err != nil {
		archive.Log.WithError(err).Warn("Failed to replace a damaged segment.")

		return
	}

	archive.Recorder.Record(recorder.Event{Part: "archiver", Kind: recorder.KindRepaired, Details: []string{"Segment=" + name, "Cause=damaged"}})
}

// rankedHolders returns the other holders in the order of their rendezvous hashes, so
// that writers and readers of a segment ask the same holders first.
func (archive *Archive) rankedHolders(name string) []Holder {
	holders := slices.Clone(archive.Holders())
	slices.SortFunc(holders, func(left, right Holder) int {
		return cmp.Compare(rendezvousWeight(right.Name, name), rendezvousWeight(left.Name, name))
	})

	return holders
}

func rendezvousWeight(holder, name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write([]byte(holder))

	return hash.Sum64()
}
