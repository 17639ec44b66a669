package surveyor

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"limpetrail/messenger"
)

const (
	exampleClock       = 117_707_000_000_000_000
	exampleIncarnation = 1_796_342_625_000_000_000
)

// PrintMessageSizes writes the encoded sizes of the most frequent RPC messages.
func PrintMessageSizes(out io.Writer) error {
	load := &messenger.LoadReport{RunningOnline: 12, QueuedOnline: 1, RunningBatch: 40, Limit: 64, FirstTokenMicros: 230_000}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)

	for _, example := range []struct {
		name    string
		message proto.Message
	}{
		{"load report", load},
		{"hello", &messenger.HelloRequest{Clock: exampleClock}},
		{"hello's reply, one model", &messenger.HelloReply{
			Clock: exampleClock, Instance: "sidecar-00001", Incarnation: exampleIncarnation, Load: load, Models: []string{"forecast@v2"},
		}},
		{"frame of one token, with load", &messenger.Frame{
			Clock: exampleClock, Kind: messenger.FrameKind_FRAME_KIND_DATA, Offset: 200, Events: [][]byte{[]byte("token ")}, Load: load,
		}},
		{"frame of one token, without", &messenger.Frame{
			Clock: exampleClock, Kind: messenger.FrameKind_FRAME_KIND_DATA, Offset: 200, Events: [][]byte{[]byte("token ")},
		}},
		{"progress frame", &messenger.Frame{Clock: exampleClock, Kind: messenger.FrameKind_FRAME_KIND_PROGRESS, Offset: 200}},
		{"pull for batch items", &messenger.PullRequest{Clock: exampleClock, Instance: "sidecar-00001", Service: "service-1", Limit: 32}},
		{"pull's empty reply", &messenger.PullReply{Clock: exampleClock}},
	} {
		fmt.Fprintf(table, "message\t%s\t%d B\n", example.name, proto.Size(example.message))
	}

	return errors.Trace(table.Flush())
}
