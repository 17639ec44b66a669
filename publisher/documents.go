package publisher

import (
	"context"

	"storj.io/drpc"

	"limpetrail/keeper"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// Documents answers peers about the document in force.
type Documents struct {
	Publisher *Publisher
}

var (
	_ messenger.DRPCDocumentsServer = (*Documents)(nil)
	_ messenger.Service             = (*Documents)(nil)
)

// NewDocuments returns the part that peers exchange documents with.
func NewDocuments(publisher *Publisher) *Documents {
	return &Documents{Publisher: publisher}
}

// RegisterService implements messenger.Service.
func (documents *Documents) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterDocuments(mux, documents)
}

// Document implements messenger.DRPCDocumentsServer.
func (documents *Documents) Document(_ context.Context, request *messenger.DocumentRequest) (*messenger.DocumentReply, error) {
	publisher := documents.Publisher
	publisher.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	if len(request.GetDocument()) > 0 {
		if err := publisher.takePacked(keeper.Revision(request.GetRevision()), request.GetDocument()); err != nil {
			return nil, err
		}
	}

	current := publisher.Current()
	reply := &messenger.DocumentReply{
		Clock:    uint64(publisher.Recorder.Clock.Now()),
		Revision: uint64(current.Revision),
	}

	if reply.GetRevision() > request.GetRevision() {
		reply.Document = current.packed
	}

	reply.Wanted = publisher.want(keeper.Revision(request.GetRevision()))

	return reply, nil
}
