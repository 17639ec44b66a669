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
	// PathCopies is the path at which a holder receives copies, and at which it
	// says whether it needs the revision of a prefix that the query names.
	PathCopies    = "/v1/copies"
	prefixField   = "prefix"
	revisionField = "revision"
	// maxCopyBytes bounds a copy: a configuration of a megabyte, in base64.
	maxCopyBytes = 4 << 20
	// maxCopyBytesPerSecond limits the copies that a holder accepts for one prefix: in a
	// large fleet, a list of a megabyte changes all the time and each gateway has seen
	// another revision of it. At this rate, a configuration of 10 KB delays the next
	// copy by 40 ms.
	maxCopyBytesPerSecond = 256 << 10
	// copiesOwner is the owner of the stored copies in the folder.
	copiesOwner = "copies"
)

// Copy holds the items below a prefix as one process last saw them.
type Copy struct {
	Prefix string
	Page   keeper.Page
}

// Copies keeps the newest copy of each prefix on disk, for the case that all
// processes start while the key-value service is unavailable.
type Copies struct {
	kernel.Common
	Folder *archiver.Folder

	mutex sync.Mutex
	// pages holds the copies and files the names of their files, both by prefix. The
	// revision of a prefix's page never decreases.
	pages map[string]keeper.Page
	files map[string]string
	// nextAccepted holds the time from which the next copy of a prefix is accepted.
	nextAccepted map[string]time.Time
}

// NewCopies loads the copies that an earlier process stored in the folder.
func NewCopies(common kernel.Common, folder *archiver.Folder) (*Copies, error) {
	copies := &Copies{Common: common.ForPart("relayer"), Folder: folder, pages: map[string]keeper.Page{}, files: map[string]string{}, nextAccepted: map[string]time.Time{}}

	names, err := folder.Names()
	if err != nil {
		return nil, errors.Trace(err)
	}

	for _, name := range names {
		stored, err := folder.Fetch(name)
		loaded := Copy{}

		if err == nil {
			err = json.Unmarshal(stored, &loaded)
		}

		if err != nil {
			copies.Log.WithField("File", name).WithError(err).Warn("Stored copy cannot be read and is deleted.")
			folder.Delete(name)

			continue
		}

		copies.replace(loaded, name)
	}

	return copies, nil
}

// Put stores a copy if it is newer than the present one.
func (copies *Copies) Put(received Copy) error {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()

	if _, known := copies.files[received.Prefix]; known && received.Page.Revision <= copies.pages[received.Prefix].Revision {
		return nil
	}

	encoded, err := json.Marshal(received)
	if err != nil {
		return errors.Trace(err)
	}

	name := archiver.SegmentName(encoded)
	if err := copies.Folder.Store(name, copiesOwner, encoded); err != nil {
		return errors.Trace(err)
	}

	copies.replace(received, name)
	copies.nextAccepted[received.Prefix] = time.Now().Add(time.Duration(len(encoded)) * time.Second / maxCopyBytesPerSecond)

	return nil
}

// replace makes the copy the current one of its prefix, unless the present one is newer,
// and deletes the file of the other.
func (copies *Copies) replace(received Copy, name string) {
	previous, known := copies.files[received.Prefix]
	if known && copies.pages[received.Prefix].Revision > received.Page.Revision {
		copies.Folder.Delete(name)

		return
	}

	copies.pages[received.Prefix], copies.files[received.Prefix] = received.Page, name

	if known && previous != name {
		copies.Folder.Delete(previous)
	}
}

// Get returns the copy of a prefix, and whether there is one.
func (copies *Copies) Get(prefix string) ([]keeper.Item, keeper.Revision, bool) {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()

	page, found := copies.pages[prefix]

	return page.Items, page.Revision, found
}

// ServeHTTP answers whether a copy is needed (GET) or stores one (POST).
func (copies *Copies) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		copies.answerOffer(writer, request.URL.Query())

		return
	}

	received := Copy{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxCopyBytes)).Decode(&received); err != nil || received.Prefix == "" {
		http.Error(writer, "The body is no copy.", http.StatusBadRequest)

		return
	}

	if err := copies.Put(received); err != nil {
		copies.Log.WithField("Prefix", received.Prefix).WithError(err).Warn("Copy could not be stored.")
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// answerOffer tells a gateway whether to send the copy that it offers: 204 if the
// stored one is at least as new, 404 if it is older or missing, and 429 if it is
// older or missing but the next copy isn't accepted yet.
func (copies *Copies) answerOffer(writer http.ResponseWriter, offered url.Values) {
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
	case time.Now().Before(copies.nextAccepted[prefix]):
		writer.WriteHeader(http.StatusTooManyRequests)
	default:
		// The gateway sends the copy now; another one may do so if it fails to.
		copies.nextAccepted[prefix] = time.Now().Add(shareTimeout)

		writer.WriteHeader(http.StatusNotFound)
	}
}
