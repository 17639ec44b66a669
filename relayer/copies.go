package relayer

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// PathCopies is where a holder takes copies, and says whether it has one as
	// new as that of the prefix and revision in the query.
	PathCopies    = "/v1/copies"
	prefixField   = "prefix"
	revisionField = "revision"
	// maxCopyBytes bounds a copy: a configuration of a megabyte, in base64.
	maxCopyBytes = 4 << 20
	// copyRate is what a holder takes of one prefix, in bytes a second: in a large
	// fleet a list of a megabyte changes all the time, and each gateway has come
	// to another revision of it. A configuration of 10 KB waits 40 ms.
	copyRate = 256 << 10
	// copiesOwner names the files of copies for the folder.
	copiesOwner = "copies"
)

// Copy is what lies below a prefix, as one process saw it.
type Copy struct {
	Prefix string
	Page   keeper.Page
}

// Copies keeps the newest copy of each prefix on disk, for processes that all
// start while the service is away.
type Copies struct {
	kernel.Common
	Folder *archiver.Folder

	mutex sync.Mutex
	// pages and files are by prefix; a page's revision never falls.
	pages map[string]keeper.Page
	files map[string]string
	// next is when another copy of the prefix may come.
	next map[string]time.Time
}

// NewCopies opens the folder and reads what an earlier process left.
func NewCopies(common kernel.Common, folder *archiver.Folder) (*Copies, error) {
	copies := &Copies{Common: common.ForPart("relayer"), Folder: folder, pages: map[string]keeper.Page{}, files: map[string]string{}, next: map[string]time.Time{}}

	names, err := folder.Names()
	if err != nil {
		return nil, errors.Trace(err)
	}

	for _, name := range names {
		stored, err := folder.Fetch(name)
		read := Copy{}

		if err == nil {
			err = json.Unmarshal(stored, &read)
		}

		if err != nil {
			copies.Log.WithField("File", name).WithError(err).Warn("Copy cannot be read and is dropped.")
			folder.Drop(name)

			continue
		}

		copies.replace(read, name)
	}

	return copies, nil
}

// Put keeps a copy unless it is no newer than the present one.
func (copies *Copies) Put(taken Copy) error {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()

	if _, known := copies.files[taken.Prefix]; known && taken.Page.Revision <= copies.pages[taken.Prefix].Revision {
		return nil
	}

	encoded, err := json.Marshal(taken)
	if err != nil {
		return errors.Trace(err)
	}

	name := archiver.Name(encoded)
	if err := copies.Folder.Store(name, copiesOwner, encoded); err != nil {
		return errors.Trace(err)
	}

	copies.replace(taken, name)
	copies.next[taken.Prefix] = time.Now().Add(time.Duration(len(encoded)) * time.Second / copyRate)

	return nil
}

// replace takes the copy in, and drops the older one of the same prefix.
func (copies *Copies) replace(taken Copy, name string) {
	former, known := copies.files[taken.Prefix]
	if known && copies.pages[taken.Prefix].Revision > taken.Page.Revision {
		copies.Folder.Drop(name)

		return
	}

	copies.pages[taken.Prefix], copies.files[taken.Prefix] = taken.Page, name

	if known && former != name {
		copies.Folder.Drop(former)
	}
}

// Shown returns a copy, and whether there is one.
func (copies *Copies) Shown(prefix string) ([]keeper.Item, keeper.Revision, bool) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()

	page, found := copies.pages[prefix]

	return page.Items, page.Revision, found
}

// ServeHTTP takes a copy from a gateway, or says whether it is needed.
func (copies *Copies) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		copies.compare(writer, request.URL.Query())

		return
	}

	taken := Copy{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxCopyBytes)).Decode(&taken); err != nil || taken.Prefix == "" {
		http.Error(writer, "The body is no copy.", http.StatusBadRequest)

		return
	}

	if err := copies.Put(taken); err != nil {
		copies.Log.WithField("Prefix", taken.Prefix).WithError(err).Warn("Copy is not kept.")
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// compare answers 204 where the copy is as new as the one that is offered, 404
// where it is older or missing, and 429 where it is older and the next one would
// come too soon.
func (copies *Copies) compare(writer http.ResponseWriter, offered url.Values) {
	prefix := offered.Get(prefixField)

	revision, err := strconv.ParseInt(offered.Get(revisionField), 10, 64)
	if err != nil || prefix == "" {
		http.Error(writer, "The query names no prefix and revision.", http.StatusBadRequest)

		return
	}

	copies.mutex.Lock()
	defer copies.mutex.Unlock()

	page, found := copies.pages[prefix]

	switch {
	case found && int64(page.Revision) >= revision:
		writer.WriteHeader(http.StatusNoContent)
	case time.Now().Before(copies.next[prefix]):
		writer.WriteHeader(http.StatusTooManyRequests)
	default:
		// The copy is on its way now; if it does not come, another one may.
		copies.next[prefix] = time.Now().Add(shareTimeout)

		writer.WriteHeader(http.StatusNotFound)
	}
}
