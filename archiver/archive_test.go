package archiver_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/kernel"
)

// holders is a set of holders in one process.
type holders struct {
	folders map[string]*archiver.Folder
	list    []archiver.Holder
}

func newHolders(t *testing.T, names ...string) *holders {
	t.Helper()

	set := &holders{folders: map[string]*archiver.Folder{}}
	for _, name := range names {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		set.folders[name] = folder
		centre, _, _ := strings.Cut(name, "/")
		set.list = append(set.list, archiver.Holder{Name: name, DataCentre: centre})
	}

	return set
}

// archive is the archive of the named instance, which may hold segments.
func (set *holders) archive(name string) *archiver.Archive {
	common := kernel.Discard(name)
	common.DataCentre, _, _ = strings.Cut(name, "/")

	others := func() []archiver.Holder {
		found := []archiver.Holder{}
		for _, holder := range set.list {
			if holder.Name != name {
				found = append(found, holder)
			}
		}

		return found
	}

	return archiver.NewArchive(common, set, others, archiver.WithFolder(set.folders[name]))
}

func (set *holders) Fetch(_ context.Context, holder archiver.Holder, name string) ([]byte, error) {
	folder, found := set.folders[holder.Name]
	if !found {
		return nil, errors.New("the holder is gone")
	}

	return folder.Fetch(name)
}

func (set *holders) Probe(ctx context.Context, holder archiver.Holder, name string) (bool, error) {
	_, err := set.Fetch(ctx, holder, name)

	return err == nil, nil
}

func (set *holders) Store(_ context.Context, holder archiver.Holder, name, owner string, stored []byte) error {
	folder, found := set.folders[holder.Name]
	if !found {
		return errors.New("the holder is gone")
	}

	return folder.Store(name, owner, stored)
}

// centres returns the data centres with an undamaged copy.
func (set *holders) centres(name string) map[string]bool {
	found := map[string]bool{}

	for holder, folder := range set.folders {
		if _, err := folder.Fetch(name); err == nil {
			centre, _, _ := strings.Cut(holder, "/")
			found[centre] = true
		}
	}

	return found
}

func TestSegmentOutlivesAHolderAndIsRepaired(t *testing.T) {
	set := newHolders(t, "dc1/a", "dc1/b", "dc2/a", "dc3/a")
	writer := set.archive("dc1/a")

	// Whichever holders the name's hash prefers, the copies are apart.
	for number := range 20 {
		name, err := writer.Put(t.Context(), "owner", []byte{byte(number)})
		require.NoError(t, err)
		require.Len(t, set.centres(name), 2)
	}

	name, err := writer.Put(t.Context(), "owner", []byte("notices"))
	require.NoError(t, err)

	delete(set.folders, "dc1/a")

	reader := set.archive("dc3/a")
	data, err := reader.Get(t.Context(), name, "owner")
	require.NoError(t, err)
	require.Equal(t, "notices", string(data))

	require.NoError(t, reader.Repair(t.Context(), name, "owner"))
	require.Len(t, set.centres(name), 2)
}

func TestDamagedSegmentIsHealedFromTheOtherHolder(t *testing.T) {
	set := newHolders(t, "dc1/a", "dc2/a")
	archive := set.archive("dc1/a")

	name, err := archive.Put(t.Context(), "owner", []byte("notices"))
	require.NoError(t, err)

	path := filepath.Join(set.folders["dc1/a"].Path, name)
	require.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))

	data, err := archive.Get(t.Context(), name, "owner")
	require.NoError(t, err)
	require.Equal(t, "notices", string(data))

	require.Len(t, set.centres(name), 2)
}

func TestPutRefusesWhatTooFewDataCentresHold(t *testing.T) {
	cases := map[string]func(set *holders){
		"the only other holder is in the same data centre": func(set *holders) { delete(set.folders, "dc2/a") },
		"the disk is full": func(set *holders) { set.folders["dc2/a"].Limit = 1 },
	}

	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			set := newHolders(t, "dc1/a", "dc1/b", "dc2/a")
			change(set)

			_, err := set.archive("dc1/a").Put(t.Context(), "owner", []byte("notices"))
			require.ErrorIs(t, err, errors.QuotaLimitExceeded)
			require.ErrorContains(t, err, "1 of 2 data centres")
		})
	}
}

func TestFolderRefusesNamesThatAreNoHashes(t *testing.T) {
	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	for _, name := range []string{"../escape", "", strings.Repeat("A", 64), archiver.Name([]byte("other"))} {
		require.Error(t, folder.Store(name, "owner", []byte("content")))
	}

	_, err = folder.Fetch("../escape")
	require.ErrorIs(t, err, errors.NotValid)
}

func TestCollectKeepsWhatIsNamedOrYoung(t *testing.T) {
	path := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(path, "tmp-left"), []byte("half"), 0o600))

	folder, err := archiver.NewFolder(path, 0)
	require.NoError(t, err)
	require.NoFileExists(t, filepath.Join(path, "tmp-left"))

	store := func(content, owner string, age time.Duration) string {
		name := archiver.Name([]byte(content))
		require.NoError(t, folder.Store(name, owner, []byte(content)))

		past := time.Now().Add(-age)
		require.NoError(t, os.Chtimes(filepath.Join(path, name), past, past))

		return name
	}
	young := store("young", "nobody", 0)
	named := store("named", "job", 48*time.Hour)
	unnamed := store("unnamed", "nobody", 48*time.Hour)
	unknown := store("unknown", "unreadable", 48*time.Hour)

	removed, err := folder.Collect(24*time.Hour, func(owner, _ string) (bool, error) {
		if owner == "unreadable" {
			return false, errors.New("no answer")
		}

		return owner == "job", nil
	})
	require.NoError(t, err)
	require.Equal(t, 1, removed)

	for _, name := range []string{young, named, unknown} {
		_, err := folder.Fetch(name)
		require.NoError(t, err)
	}

	_, err = folder.Fetch(unnamed)
	require.ErrorIs(t, err, errors.NotFound)
}
