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

// fakeHolders is a set of holders in one process, and the Remote that reaches them.
type fakeHolders struct {
	folders map[string]*archiver.Folder
	list    []archiver.Holder
}

func newFakeHolders(t *testing.T, names ...string) *fakeHolders {
	t.Helper()

	set := &fakeHolders{folders: map[string]*archiver.Folder{}}
	for _, name := range names {
		folder, err := archiver.NewFolder(t.TempDir(), 0)
		require.NoError(t, err)

		set.folders[name] = folder
		centre, _, _ := strings.Cut(name, "/")
		set.list = append(set.list, archiver.Holder{Name: name, DataCentre: centre})
	}

	return set
}

// archive returns the archive of the named instance. The name is a data centre, a
// slash and the holder.
func (set *fakeHolders) archive(name string) *archiver.Archive {
	common := kernel.NewDiscardCommon(name)
	common.DataCentre, _, _ = strings.Cut(name, "/")

	otherHolders := func() []archiver.Holder {
		others := []archiver.Holder{}
		for _, holder := range set.list {
			if holder.Name != name {
				others = append(others, holder)
			}
		}

		return others
	}

	return archiver.NewArchive(common, set, otherHolders, archiver.WithFolder(set.folders[name]))
}

func (set *fakeHolders) Fetch(_ context.Context, holder archiver.Holder, name string) ([]byte, error) {
	folder, found := set.folders[holder.Name]
	if !found {
		return nil, errors.New("the holder is gone")
	}

	return folder.Fetch(name)
}

func (set *fakeHolders) Probe(ctx context.Context, holder archiver.Holder, name string) (bool, error) {
	_, err := set.Fetch(ctx, holder, name)

	return err == nil, nil
}

func (set *fakeHolders) Store(_ context.Context, holder archiver.Holder, name, owner string, stored []byte) error {
	folder, found := set.folders[holder.Name]
	if !found {
		return errors.New("the holder is gone")
	}

	return folder.Store(name, owner, stored)
}

// dataCentresWithCopy returns the data centres with an undamaged copy.
func (set *fakeHolders) dataCentresWithCopy(name string) map[string]bool {
	dataCentres := map[string]bool{}

	for holder, folder := range set.folders {
		if _, err := folder.Fetch(name); err == nil {
			centre, _, _ := strings.Cut(holder, "/")
			dataCentres[centre] = true
		}
	}

	return dataCentres
}

func TestSegmentSurvivesLossOfAHolderAndIsRepaired(t *testing.T) {
	set := newFakeHolders(t, "dc1/a", "dc1/b", "dc2/a", "dc3/a")
	writer := set.archive("dc1/a")

	// Whichever holders the hash of the name ranks first, the copies are in different
	// data centres.
	for number := range 20 {
		name, err := writer.Put(t.Context(), "owner", []byte{byte(number)})
		require.NoError(t, err)
		require.Len(t, set.dataCentresWithCopy(name), 2)
	}

	name, err := writer.Put(t.Context(), "owner", []byte("notices"))
	require.NoError(t, err)

	delete(set.folders, "dc1/a")

	reader := set.archive("dc3/a")
	data, err := reader.Get(t.Context(), name, "owner")
	require.NoError(t, err)
	require.Equal(t, "notices", string(data))

	require.NoError(t, reader.Repair(t.Context(), name, "owner"))
	require.Len(t, set.dataCentresWithCopy(name), 2)
}

func TestDamagedSegmentIsReplacedFromTheOtherHolder(t *testing.T) {
	set := newFakeHolders(t, "dc1/a", "dc2/a")
	archive := set.archive("dc1/a")

	name, err := archive.Put(t.Context(), "owner", []byte("notices"))
	require.NoError(t, err)

	path := filepath.Join(set.folders["dc1/a"].Path, name)
	require.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))

	data, err := archive.Get(t.Context(), name, "owner")
	require.NoError(t, err)
	require.Equal(t, "notices", string(data))

	require.Len(t, set.dataCentresWithCopy(name), 2)
}

func TestPutFailsIfTooFewDataCentresStoreTheSegment(t *testing.T) {
	cases := map[string]func(set *fakeHolders){
		"the only holder in another data centre is gone": func(set *fakeHolders) { delete(set.folders, "dc2/a") },
		"the disk is full": func(set *fakeHolders) { set.folders["dc2/a"].Limit = 1 },
	}

	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			set := newFakeHolders(t, "dc1/a", "dc1/b", "dc2/a")
			change(set)

			_, err := set.archive("dc1/a").Put(t.Context(), "owner", []byte("notices"))
			require.ErrorIs(t, err, errors.QuotaLimitExceeded)
			require.ErrorContains(t, err, "1 of 2 data centres")
		})
	}
}

func TestFolderRejectsNamesThatAreNotTheContentHash(t *testing.T) {
	folder, err := archiver.NewFolder(t.TempDir(), 0)
	require.NoError(t, err)

	for _, name := range []string{"../escape", "", strings.Repeat("A", 64), archiver.SegmentName([]byte("other"))} {
		require.Error(t, folder.Store(name, "owner", []byte("content")))
	}

	_, err = folder.Fetch("../escape")
	require.ErrorIs(t, err, errors.NotValid)
}

func TestRemoveUnreferencedKeepsReferencedAndRecentSegments(t *testing.T) {
	path := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(path, "tmp-left"), []byte("half"), 0o600))

	folder, err := archiver.NewFolder(path, 0)
	require.NoError(t, err)
	require.NoFileExists(t, filepath.Join(path, "tmp-left"))

	store := func(content, owner string, age time.Duration) string {
		name := archiver.SegmentName([]byte(content))
		require.NoError(t, folder.Store(name, owner, []byte(content)))

		past := time.Now().Add(-age)
		require.NoError(t, os.Chtimes(filepath.Join(path, name), past, past))

		return name
	}
	recent := store("recent", "nobody", 0)
	referenced := store("referenced", "job", 48*time.Hour)
	unreferenced := store("unreferenced", "nobody", 48*time.Hour)
	undetermined := store("undetermined", "unreadable", 48*time.Hour)

	removed, err := folder.RemoveUnreferenced(24*time.Hour, func(owner, _ string) (bool, error) {
		if owner == "unreadable" {
			return false, errors.New("no answer")
		}

		return owner == "job", nil
	})
	require.NoError(t, err)
	require.Equal(t, 1, removed)

	for _, name := range []string{recent, referenced, undetermined} {
		_, err := folder.Fetch(name)
		require.NoError(t, err)
	}

	_, err = folder.Fetch(unreferenced)
	require.ErrorIs(t, err, errors.NotFound)
}
