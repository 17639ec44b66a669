package archiver

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/messenger"
)

// Server serves the segments of this instance to other instances.
type Server struct {
	// Folder is nil on an instance without a disk.
	Folder *Folder
}

var (
	_ messenger.DRPCSegmentsServer = (*Server)(nil)
	_ messenger.Service            = (*Server)(nil)
)

// NewServer returns a server of the archive's folder.
func NewServer(archive *Archive) *Server {
	return &Server{Folder: archive.Folder}
}

// RegisterService implements messenger.Service.
func (server *Server) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterSegments(mux, server)
}

// Fetch implements messenger.DRPCSegmentsServer.
func (server *Server) Fetch(_ context.Context, request *messenger.SegmentRequest) (*messenger.SegmentReply, error) {
	if server.Folder == nil {
		return &messenger.SegmentReply{}, nil
	}

	stored, err := server.Folder.Fetch(request.GetName())
	if err != nil {
		return &messenger.SegmentReply{}, nil //nolint:nilerr // A missing or damaged copy is reported as not found.
	}

	if request.GetProbe() {
		return &messenger.SegmentReply{Found: true}, nil
	}

	return &messenger.SegmentReply{Found: true, Content: stored}, nil
}

// Store implements messenger.DRPCSegmentsServer.
func (server *Server) Store(_ context.Context, request *messenger.StoreRequest) (*messenger.StoreReply, error) {
	if server.Folder == nil {
		return nil, errors.NotSupportedf("storing segments without a data folder")
	}

	if err := server.Folder.Store(request.GetName(), request.GetOwner(), request.GetContent()); err != nil {
		return nil, errors.Trace(err)
	}

	return &messenger.StoreReply{}, nil
}
