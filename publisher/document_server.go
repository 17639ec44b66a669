package publisher

import (
	"context"

	"storj.io/drpc"

	"limpetrail/keeper"
	"limpetrail/messenger"
	"limpetrail/recorder"
)

// DocumentServer is the RPC service through which peers exchange the document.
type DocumentServer struct {
	Publisher *Publisher
}

var (
	_ messenger.DRPCDocumentsServer = (*DocumentServer)(nil)
	_ messenger.Service             = (*DocumentServer)(nil)
)

// NewDocumentServer returns the RPC service of the publisher.
func NewDocumentServer(publisher *Publisher) *DocumentServer {
	return &DocumentServer{Publisher: publisher}
}

// RegisterService implements messenger.Service.
func (server *DocumentServer) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterDocuments(mux, server)
}

// Document implements messenger.DRPCDocumentsServer. It applies the peer's
// document if that is newer, replies with the document of this process if the
// peer's revision is lower, and sets Wanted to ask for the peer's document.
func (server *DocumentServer) Document(_ context.Context, request *messenger.DocumentRequest) (*messenger.DocumentReply, error) {
	publisher := server.Publisher
	publisher.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	if len(request.GetDocument()) > 0 {
		if err := publisher.applyPacked(keeper.Revision(request.GetRevision()), request.GetDocument()); err != nil {
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

	reply.Wanted = publisher.startRequest(keeper.Revision(request.GetRevision()))

	return reply, nil
}
