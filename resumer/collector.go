package resumer

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// Collector keeps the records of all entries at a holder, and answers entries that ask for one.
type Collector struct {
	kernel.Common

	ledger    *Ledger
	startedAt time.Time
}

// versionsReply is the JSON body of a holder's answer to the question for versions.
type versionsReply struct {
	// Versions are those at which streams began within the period.
	Versions []string
	// Up is how long the holder has been told.
	Up time.Duration
}

// reply is the JSON body of a holder's answer.
type reply struct {
	Origin

	// Age is how long ago the holder was told.
	Age time.Duration
}

// NewCollector returns a collector without records.
func NewCollector(common kernel.Common) *Collector {
	return &Collector{Common: common.ForPart("resumer"), ledger: NewLedger(), startedAt: time.Now()}
}

// Run receives records at the address until the context ends.
func (collector *Collector) Run(ctx context.Context, address string) error {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Annotate(err, "address for records of streams")
	}

	socket, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return errors.Annotate(err, "listening for records of streams")
	}

	stop := context.AfterFunc(ctx, func() { socket.Close() })
	defer stop()

	buffer := make([]byte, maxRecordBytes)

	for ctx.Err() == nil {
		count, _, err := socket.ReadFromUDP(buffer)
		if err != nil {
			kernel.Pause(ctx, time.Millisecond)

			continue
		}

		collector.Collect(buffer[:count])
	}

	return nil
}

// Collect records what a datagram says. One that cannot be read is counted.
func (collector *Collector) Collect(datagram []byte) {
	received, err := decodeRecord(datagram)
	if err != nil {
		collector.Metrics.Counter("unreadable_records").Inc(1)

		return
	}

	collector.ledger.Record(received.ID, received.Origin)
}

// ServeHTTP implements http.Handler: it answers where a stream began, or 404, or at which versions
// streams of a service began.
func (collector *Collector) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()

	if query.Has(queryService) {
		collector.serveVersions(writer, query.Get(queryService), query.Get(queryPeriod))

		return
	}

	origin, age, known := collector.ledger.Find(query.Get(queryID))
	if !known {
		http.Error(writer, "No stream with this ID is known.", http.StatusNotFound)

		return
	}

	collector.write(writer, reply{Origin: origin, Age: age})
}

func (collector *Collector) serveVersions(writer http.ResponseWriter, service, text string) {
	period, err := time.ParseDuration(text)
	if err != nil {
		http.Error(writer, "The parameter "+queryPeriod+" is no duration: "+err.Error(), http.StatusBadRequest)

		return
	}

	collector.write(writer, versionsReply{
		Versions: slices.Sorted(maps.Keys(collector.ledger.Versions(service, period))), Up: time.Since(collector.startedAt),
	})
}

func (collector *Collector) write(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")

	if err := json.NewEncoder(writer).Encode(answer); err != nil {
		collector.Log.WithError(err).Info("What is known of streams could not be sent to an entry.")
	}
}
