package app

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/platform"
)

// readSoftwareTimeout bounds one reading of the list of backend servers.
const readSoftwareTimeout = time.Second

// softwareReader reads the software versions of backend servers from the key-value service. Calls that
// come while a reading runs share the next one, as theirs must begin after them.
type softwareReader struct {
	kernel.Common
	Client *keeper.CatalogClient

	mutex sync.Mutex
	// last is the reading that has begun last; nil if none has.
	last *softwareReading
	// next has not begun yet; nil if nobody waits for one.
	next *softwareReading
}

// softwareReading is one reading of the list.
type softwareReading struct {
	// done is closed when the other fields are set.
	done chan struct{}
	// versions holds the versions of each service, once each.
	versions map[string][]string
	err      error
}

func newSoftwareReader(common kernel.Common, client *keeper.CatalogClient) *softwareReader {
	return &softwareReader{Common: common.ForPart("software"), Client: client}
}

// Software implements forwarder.ServerList.
func (reader *softwareReader) Software(ctx context.Context, service string) ([]string, error) {
	reading := reader.join(ctx)

	select {
	case <-reading.done:
		return reading.versions[service], reading.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

// join returns a reading that begins after the call.
func (reader *softwareReader) join(ctx context.Context) *softwareReading {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()

	if reader.next == nil {
		reader.next = &softwareReading{done: make(chan struct{})}

		go reader.read(context.WithoutCancel(ctx), reader.next, reader.last)
	}

	return reader.next
}

// read makes a reading once the one before has ended.
func (reader *softwareReader) read(ctx context.Context, reading, before *softwareReading) {
	defer close(reading.done)

	if before != nil {
		<-before.done
	}

	reader.mutex.Lock()
	reader.last, reader.next = reading, nil
	reader.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, readSoftwareTimeout)
	defer cancel()

	items, _, err := reader.Client.RangeAll(ctx, platform.PrefixServers)
	if err != nil {
		reading.err = errors.Annotate(err, "reading the list of backend servers")

		return
	}

	reading.versions = map[string][]string{}

	for _, item := range items {
		server, err := platform.DecodeServer(strings.TrimPrefix(item.Key, platform.PrefixServers), item.Value)
		if err != nil {
			reader.Log.WithField("Key", item.Key).WithError(err).Warn("Item cannot be decoded and is ignored.")

			continue
		}

		if !slices.Contains(reading.versions[server.Service], server.Software) {
			reading.versions[server.Service] = append(reading.versions[server.Service], server.Software)
		}
	}
}
