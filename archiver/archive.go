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
	// callLimit bounds one call of another holder.
	callLimit = 10 * time.Second
)

// Archive stores segments at several holders and reads them from any.
type Archive struct {
	kernel.Common

	// Folder is nil at an instance without a disk.
	Folder *Folder
	Remote Remote
	// Holders lists the other instances that may keep segments.
	Holders func() []Holder
	// Copies is the number of data centres that must hold a segment before a
	// record may name it.
	Copies int
}

// Option changes an Archive at construction.
type Option func(*Archive)

// WithFolder sets the folder of this instance.
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

// Put stores the data in enough data centres and returns its name. The owner
// is the key of the record that is going to name it.
func (archive *Archive) Put(ctx context.Context, owner string, data []byte) (string, error) {
	stored := Compress(data)
	name := Name(stored)

	return name, errors.Trace(archive.spread(ctx, name, owner, stored))
}

// Get returns the data of a segment from any holder. Where this instance should
// hold it and its copy is missing or damaged, the copy is made good.
func (archive *Archive) Get(ctx context.Context, name, owner string) ([]byte, error) {
	damaged := false

	if archive.Folder != nil {
		stored, err := archive.Folder.Fetch(name)
		if err == nil {
			return Decompress(stored)
		}

		damaged = errors.Is(err, errors.NotValid)
	}

	stored, err := archive.fetch(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}

	if damaged {
		archive.heal(name, owner, stored)
	}

	return Decompress(stored)
}

// Repair makes sure that enough data centres hold the segment, and returns how
// many copies it had to make.
func (archive *Archive) Repair(ctx context.Context, name, owner string) error {
	centres := map[string]bool{}

	if archive.Folder != nil {
		if _, err := archive.Folder.Fetch(name); err == nil {
			centres[archive.DataCentre] = true
		}
	}

	for _, holder := range archive.ordered(name) {
		if centres[holder.DataCentre] {
			continue
		}

		if len(centres) >= archive.Copies {
			return nil
		}

		probe, cancel := context.WithTimeout(ctx, callLimit)
		found, err := archive.Remote.Probe(probe, holder, name)
		cancel()

		if err == nil && found {
			centres[holder.DataCentre] = true
		}
	}

	if len(centres) >= archive.Copies {
		return nil
	}

	stored, err := archive.find(ctx, name)
	if err != nil {
		return errors.Trace(err)
	}

	archive.Log.WithField("Segment", name).Info("Copying a segment that has too few holders.")
	archive.Recorder.Record(recorder.Event{Part: "archiver", Kind: recorder.KindRepaired, Details: []string{"Segment=" + name}})

	return errors.Trace(archive.spread(ctx, name, owner, stored))
}

// spread stores the segment here and at holders in other data centres.
func (archive *Archive) spread(ctx context.Context, name, owner string, stored []byte) error {
	centres := map[string]bool{}
	reasons := []string{}

	if archive.Folder != nil {
		if err := archive.Folder.Store(name, owner, stored); err == nil {
			centres[archive.DataCentre] = true
		} else {
			reasons = append(reasons, archive.Instance+": "+err.Error())
		}
	}

	for _, holder := range archive.ordered(name) {
		if len(centres) >= archive.Copies {
			break
		}

		if centres[holder.DataCentre] {
			continue
		}

		call, cancel := context.WithTimeout(ctx, callLimit)
		err := archive.Remote.Store(call, holder, name, owner, stored)
		cancel()

		if err != nil {
			reasons = append(reasons, holder.Name+": "+err.Error())

			continue
		}

		centres[holder.DataCentre] = true
	}

	if len(centres) < archive.Copies {
		return errors.QuotaLimitExceededf("segment held in %d of %d data centres (%s)", len(centres), archive.Copies, strings.Join(reasons, "; "))
	}

	return nil
}

// find returns the stored bytes from here or any holder.
func (archive *Archive) find(ctx context.Context, name string) ([]byte, error) {
	if archive.Folder != nil {
		if stored, err := archive.Folder.Fetch(name); err == nil {
			return stored, nil
		}
	}

	return archive.fetch(ctx, name)
}

// fetch asks the holders in turn; a copy that is not what its name says is
// passed over.
func (archive *Archive) fetch(ctx context.Context, name string) ([]byte, error) {
	reasons := []string{}

	for _, holder := range archive.ordered(name) {
		call, cancel := context.WithTimeout(ctx, callLimit)
		stored, err := archive.Remote.Fetch(call, holder, name)
		cancel()

		switch {
		case err != nil:
			reasons = append(reasons, holder.Name+": "+err.Error())
		case Name(stored) != name:
			reasons = append(reasons, holder.Name+": damaged")
		default:
			return stored, nil
		}
	}

	return nil, errors.NotFoundf("segment %s (%s)", name, strings.Join(reasons, "; "))
}

func (archive *Archive) heal(name, owner string, stored []byte) {
	if err := archive.Folder.Store(name, owner, stored); err != nil {
		archive.Log.WithError(err).Warn("A damaged segment was not replaced.")

		return
	}

	archive.Recorder.Record(recorder.Event{Part: "archiver", Kind: recorder.KindRepaired, Details: []string{"Segment=" + name, "Cause=damaged"}})
}

// ordered lists the other holders by rendezvous hash, so that writers and
// readers of one segment ask the same ones first.
func (archive *Archive) ordered(name string) []Holder {
	holders := slices.Clone(archive.Holders())
	slices.SortFunc(holders, func(left, right Holder) int {
		return cmp.Compare(weight(right.Name, name), weight(left.Name, name))
	})

	return holders
}

func weight(holder, name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write([]byte(holder))

	return hash.Sum64()
}
