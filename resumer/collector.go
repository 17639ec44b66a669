package resumer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// Collector keeps the records of all entries at a holder, and answers entries that ask for one.
type Collector struct {
	kernel.Common

	ledger *Ledger
}

// reply is the JSON body of a holder's answer.
type reply struct {
	Origin

	// Age is how long ago the holder was told.
	Age time.Duration
}

// NewCollector returns a collector without records.
func NewCollector(common kernel.Common) *Collector {
	return &Collector{Common: common.ForPart("resumer"), ledger: NewLedger()}
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

// ServeHTTP implements http.Handler: it answers where a stream began, or 404.
func (collector *Collector) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	origin, age, known := collector.ledger.Find(request.URL.Query().Get(queryID))
	if !known {
		http.Error(writer, "No stream with this ID is known.", http.StatusNotFound)

		return
	}

	writer.Header().Set("Content-Type", "application/json")

	if err := json.NewEncoder(writer).Encode(reply{Origin: origin, Age: age}); err != nil {
		collector.Log.WithError(err).Info("Origin of a stream could not be sent to an entry.")
	}
}
