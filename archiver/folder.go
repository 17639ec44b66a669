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
	folderMode          = 0o750
	temporaryFilePrefix = "tmp-"
	ownersFileSuffix    = ".owners"
	// maxOwnersFileBytes bounds the list of the records that reference one segment.
	maxOwnersFileBytes = 64 << 10
)

// Folder stores segments as files of one folder. Beside each segment a file lists its
// owners: the keys of the records that reference it.
type Folder struct {
	Path string
	// Limit bounds the total size of the segments in bytes; 0 means the disk's own
	// limit.
	Limit int64

	mutex sync.Mutex
	// used is the total size of the segments in bytes.
	used int64
}

// NewFolder opens the folder, creates it if it is missing and removes the temporary
// files of interrupted writes.
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
		if strings.HasPrefix(entry.Name(), temporaryFilePrefix) {
			_ = os.Remove(filepath.Join(path, entry.Name()))

			continue
		}

		if info, err := entry.Info(); err == nil && validName(entry.Name()) {
			folder.used += info.Size()
		}
	}

	return folder, nil
}

// Store writes a segment durably: it survives a crash once Store has returned. The
// owner is the key of the record that will reference the segment.
func (folder *Folder) Store(name, owner string, stored []byte) error {
	if !validName(name) || SegmentName(stored) != name {
		return errors.NotValidf("segment %.80q: content of another name", name)
	}

	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	if err := folder.addOwner(name, owner); err != nil {
		return errors.Trace(err)
	}

	if present, err := os.ReadFile(folder.filePath(name)); err == nil {
		if SegmentName(present) == name {
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

// Fetch reads a segment. If it is damaged it is removed, and the error is NotValid.
func (folder *Folder) Fetch(name string) ([]byte, error) {
	if !validName(name) {
		return nil, errors.NotValidf("segment name %.80q", name)
	}

	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	stored, err := os.ReadFile(folder.filePath(name))
	if err != nil {
		return nil, errors.NewNotFound(err, "segment "+name)
	}

	if SegmentName(stored) != name {
		folder.used -= int64(len(stored))
		_ = os.Remove(folder.filePath(name))

		return nil, errors.NotValidf("damaged segment %s", name)
	}

	return stored, nil
}

// RemoveUnreferenced removes the segments that were last stored before the grace
// period and that no owner references, and returns their number. The function
// references is called for each segment's owners until one references it; if it fails
// the segment is kept.
func (folder *Folder) RemoveUnreferenced(grace time.Duration, references func(owner, name string) (bool, error)) (int, error) {
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

		if folder.isReferenced(entry.Name(), references) {
			continue
		}

		if folder.remove(entry.Name(), grace) {
			removed++
		}
	}

	return removed, nil
}

func (folder *Folder) isReferenced(name string, references func(owner, name string) (bool, error)) bool {
	folder.mutex.Lock()
	owners, err := os.ReadFile(folder.filePath(name + ownersFileSuffix))
	folder.mutex.Unlock()

	if err != nil {
		return !os.IsNotExist(err)
	}

	for owner := range strings.Lines(string(owners)) {
		found, err := references(strings.TrimSpace(owner), name)
		if found || err != nil {
			return true
		}
	}

	return false
}

// remove deletes a segment unless it has been stored again within the grace period.
func (folder *Folder) remove(name string, grace time.Duration) bool {
	folder.mutex.Lock()
	defer folder.mutex.Unlock()

	info, err := os.Stat(folder.filePath(name))
	if err != nil || time.Since(info.ModTime()) < grace {
		return false
	}

	if err := os.Remove(folder.filePath(name)); err != nil {
		return false
	}

	_ = os.Remove(folder.filePath(name + ownersFileSuffix))
	folder.used -= info.Size()

	return true
}

// addOwner adds the owner to the segment's list of owners and restarts the segment's
// grace period. The caller holds the mutex.
func (folder *Folder) addOwner(name, owner string) error {
	path := folder.filePath(name + ownersFileSuffix)
	owners, _ := os.ReadFile(path) //nolint:gosec // The name is a checked hash.
	now := time.Now()
	// Chtimes fails if the segment is not stored yet.
	_ = os.Chtimes(folder.filePath(name), now, now)

	line := owner + "\n"
	if strings.Contains("\n"+string(owners), "\n"+line) {
		return nil
	}

	if len(owners)+len(line) > maxOwnersFileBytes {
		return errors.QuotaLimitExceededf("segment %s is named by too many records", name)
	}

	return errors.Annotate(folder.write(name+ownersFileSuffix, append(owners, line...)), "noting a segment's owner")
}

// write replaces a file atomically and durably.
func (folder *Folder) write(name string, content []byte) error {
	file, err := os.CreateTemp(folder.Path, temporaryFilePrefix)
	if err != nil {
		return errors.Trace(err)
	}
	// Remove fails harmlessly after the rename.
	defer func() { _ = os.Remove(file.Name()) }()

	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}

	if closeErr := file.Close(); err == nil {
		err = closeErr
	}

	if err != nil {
		return errors.Trace(err)
	}

	if err := os.Rename(file.Name(), folder.filePath(name)); err != nil {
		return errors.Trace(err)
	}

	return folder.syncDirectory()
}

// syncDirectory makes the renames of files in the folder durable.
func (folder *Folder) syncDirectory() error {
	directory, err := os.Open(folder.Path)
	if err != nil {
		return errors.Trace(err)
	}
	defer directory.Close()

	return errors.Trace(directory.Sync())
}

func (folder *Folder) filePath(name string) string {
	return filepath.Join(folder.Path, name)
}

// Names returns the names of the segments.
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

// Delete removes a segment regardless of its owners and age.
func (folder *Folder) Delete(name string) {
	if validName(name) {
		folder.remove(name, 0)
	}
}
