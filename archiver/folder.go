package archiver

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	folderMode      = 0o750
	temporaryPrefix = "tmp-"
	ownersSuffix    = ".owners"
	// maxOwnersBytes bounds the list of records that name one segment.
	maxOwnersBytes = 64 << 10
)

// Folder keeps segments as files of one folder.
type Folder struct {
	Path string
	// Limit bounds the bytes of all segments; 0 means the disk's own limit.
	Limit int64

	mutex sync.Mutex
	// used is the sum of the sizes of the segments.
	used int64
}

// NewFolder opens the folder, creates it if need be and removes what an
// interrupted write left.
func NewFolder(path string, limit int64) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Annotate(err, "data folder")
	}

	folder := &Folder{Path: path, Limit: limit}

	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Annotate(err, "data folder")
	}

	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), temporaryPrefix) {
			_ = os.Remove(filepath.Join(path, entry.Name()))

			continue
		}

		if info, err := entry.Info(); err == nil && validName(entry.Name()) {
			folder.used += info.Size()
		}
	}

	return folder, nil
}

// Store writes a segment so that it survives a crash once Store returns. The
// owner is the key of the record that is going to name it.
func (folder *Folder) Store(name, owner string, stored []byte) error {
	if !validName(name) || Name(stored) != name {
		return errors.NotValidf("segment %.80q: content of another name", name)
	}

	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	if err := folder.addOwner(name, owner); err != nil {
		return errors.Trace(err)
	}

	if present, err := os.ReadFile(folder.file(name)); err == nil {
		if Name(present) == name {
			return nil
		}

		folder.used -= int64(len(present))
	}

	if folder.Limit > 0 && folder.used+int64(len(stored)) > folder.Limit {
		return errors.QuotaLimitExceededf("data folder holds %d of %d bytes; segment of %d bytes", folder.used, folder.Limit, len(stored))
	}

	if err := folder.write(name, stored); err != nil {
		return errors.Annotatef(err, "storing segment %s", name)
	}

	folder.used += int64(len(stored))

	return nil
}

// Fetch reads a segment. A damaged one is removed and reported as not valid.
func (folder *Folder) Fetch(name string) ([]byte, error) {
	if !validName(name) {
		return nil, errors.NotValidf("segment name %.80q", name)
	}

	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	stored, err := os.ReadFile(folder.file(name))
	if err != nil {
		return nil, errors.NewNotFound(err, "segment "+name)
	}

	if Name(stored) != name {
		folder.used -= int64(len(stored))
		_ = os.Remove(folder.file(name))

		return nil, errors.NotValidf("damaged segment %s", name)
	}

	return stored, nil
}

// Collect removes segments older than the grace period that no owner names.
// Named is asked once for each segment and owner; an error keeps the segment.
func (folder *Folder) Collect(grace time.Duration, named func(owner, name string) (bool, error)) (int, error) {
	entries, err := os.ReadDir(folder.Path)
	if err != nil {
		return 0, errors.Trace(err)
	}

	removed := 0

	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || !validName(entry.Name()) || time.Since(info.ModTime()) < grace {
			continue
		}

		if folder.isNamed(entry.Name(), named) {
			continue
		}

		if folder.remove(entry.Name(), grace) {
			removed++
		}
	}

	return removed, nil
}

func (folder *Folder) isNamed(name string, named func(owner, name string) (bool, error)) bool {
	folder.mutex.Lock()
	owners, err := os.ReadFile(folder.file(name + ownersSuffix))
	folder.mutex.Unlock()

	if err != nil {
		return !os.IsNotExist(err)
	}

	for owner := range strings.Lines(string(owners)) {
		found, err := named(strings.TrimSpace(owner), name)
		if found || err != nil {
			return true
		}
	}

	return false
}

// remove deletes a segment unless it was stored again meanwhile.
func (folder *Folder) remove(name string, grace time.Duration) bool {
	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	info, err := os.Stat(folder.file(name))
	if err != nil || time.Since(info.ModTime()) < grace {
		return false
	}

	if err := os.Remove(folder.file(name)); err != nil {
		return false
	}

	_ = os.Remove(folder.file(name + ownersSuffix))
	folder.used -= info.Size()

	return true
}

// addOwner notes the owner, and renews the segment's grace period, with the
// mutex held.
func (folder *Folder) addOwner(name, owner string) error {
	path := folder.file(name + ownersSuffix)
	owners, _ := os.ReadFile(path) //nolint:gosec // The name is a checked hash.
	now := time.Now()
	// The segment may not be there yet.
	_ = os.Chtimes(folder.file(name), now, now)

	line := owner + "\n"
	if strings.Contains("\n"+string(owners), "\n"+line) {
		return nil
	}

	if len(owners)+len(line) > maxOwnersBytes {
		return errors.QuotaLimitExceededf("segment %s is named by too many records", name)
	}

	return errors.Annotate(folder.write(name+ownersSuffix, append(owners, line...)), "noting a segment's owner")
}

// write replaces a file atomically and durably.
func (folder *Folder) write(name string, content []byte) error {
	file, err := os.CreateTemp(folder.Path, temporaryPrefix)
	if err != nil {
		return errors.Trace(err)
	}
	// After the rename there is nothing left to remove.
	defer func() { _ = os.Remove(file.Name()) }()

	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}

	if closed := file.Close(); err == nil {
		err = closed
	}

	if err != nil {
		return errors.Trace(err)
	}

	if err := os.Rename(file.Name(), folder.file(name)); err != nil {
		return errors.Trace(err)
	}

	return folder.sync()
}

// sync makes renames of the folder durable.
func (folder *Folder) sync() error {
	directory, err := os.Open(folder.Path)
	if err != nil {
		return errors.Trace(err)
	}
	defer directory.Close()

	return errors.Trace(directory.Sync())
}

func (folder *Folder) file(name string) string {
	return filepath.Join(folder.Path, name)
}

// Names lists the segments.
func (folder *Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(folder.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}

	names := []string{}

	for _, entry := range entries {
		if validName(entry.Name()) {
			names = append(names, entry.Name())
		}
	}

	return names, nil
}

// Drop removes a segment that nobody needs any more.
func (folder *Folder) Drop(name string) {
	if validName(name) {
		folder.remove(name, 0)
	}
}
