package executor

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/messenger"
	"limpetrail/recorder"
)

// Server answers the sidecar's calls from entries.
type Server struct {
	Executor *Executor
}

var (
	_ messenger.DRPCSidecarServer = (*Server)(nil)
	_ messenger.Service           = (*Server)(nil)
)

// NewServer returns a server for the executor.
func NewServer(executor *Executor) *Server {
	return &Server{Executor: executor}
}

// RegisterService implements messenger.Service.
func (server *Server) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterSidecar(mux, server)
}

// frameSender is what both streaming calls send on.
type frameSender interface {
	Context() context.Context
	Send(frame *messenger.Frame) error
}

// Hello tells which start of the sidecar this is.
func (server *Server) Hello(_ context.Context, request *messenger.HelloRequest) (*messenger.HelloReply, error) {
	server.observe(request.GetClock())

	return &messenger.HelloReply{
		Clock:       server.now(),
		Instance:    server.Executor.Instance,
		Incarnation: server.Executor.Incarnation,
		Load:        server.Executor.Load(),
	}, nil
}

// Execute runs a request and streams its answer.
func (server *Server) Execute(request *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	server.observe(request.GetClock())

	run, err := server.Executor.Submit(request)
	if err != nil {
		return server.send(stream, &messenger.Frame{
			Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
			Fate:   messenger.Fate_FATE_NOT_RUN,
			Reason: err.Error(),
		})
	}

	return server.follow(run, 0, stream)
}

// Resume streams the rest of an answer from an offset. An unknown request ends
// with the fate unknown: the asker revokes it to learn more.
func (server *Server) Resume(request *messenger.ResumeRequest, stream messenger.DRPCSidecar_ResumeStream) error {
	server.observe(request.GetClock())

	run := server.Executor.Find(request.GetRequestId())
	if run == nil {
		return server.send(stream, &messenger.Frame{
			Kind:   messenger.FrameKind_FRAME_KIND_REFUSED,
			Fate:   messenger.Fate_FATE_UNKNOWN,
			Reason: "no such request here",
		})
	}

	server.Executor.event(recorder.KindResumed, request.GetRequestId())

	return server.follow(run, request.GetOffset(), stream)
}

// Revoke settles whether a request ran, and keeps one that did not from
// running later.
func (server *Server) Revoke(_ context.Context, request *messenger.RevokeRequest) (*messenger.RevokeReply, error) {
	server.observe(request.GetClock())
	fate, offset := server.Executor.Revoke(request.GetRequestId(), request.GetIncarnation(), request.GetCancel())

	return &messenger.RevokeReply{
		Clock:       server.now(),
		Fate:        fate,
		Offset:      offset,
		Incarnation: server.Executor.Incarnation,
	}, nil
}

// Order passes an order to the engine.
func (server *Server) Order(_ context.Context, request *messenger.OrderRequest) (*messenger.OrderReply, error) {
	server.observe(request.GetClock())

	return &messenger.OrderReply{Clock: server.now(), Reason: "orders are not taken yet"}, nil
}

// Drain makes the sidecar refuse new work.
func (server *Server) Drain(_ context.Context, request *messenger.DrainRequest) (*messenger.DrainReply, error) {
	server.observe(request.GetClock())
	server.Executor.Drain()

	load := server.Executor.Load()

	return &messenger.DrainReply{Clock: server.now(), Running: load.GetRunningOnline() + load.GetRunningBatch()}, nil
}

// follow streams a run's events from the offset on, with a progress frame
// whenever there is nothing else to send for a heartbeat.
func (server *Server) follow(run *Run, offset uint64, stream frameSender) error {
	defer run.Follow()()

	if err := server.send(stream, &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_ACCEPTED}); err != nil {
		return err
	}

	ticker := time.NewTicker(server.Executor.Settings.Heartbeat)
	defer ticker.Stop()

	for {
		events, end, changed := run.After(offset)
		if len(events) > 0 {
			frame := &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_DATA, Offset: offset, Events: events}
			if err := server.send(stream, frame); err != nil {
				return err
			}

			offset += uint64(len(events))

			continue
		}

		if end != nil {
			return server.sendEnd(stream, end, offset)
		}

		select {
		case <-changed:
		case <-ticker.C:
			if err := server.send(stream, &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_PROGRESS, Offset: offset}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return errors.Trace(stream.Context().Err())
		}
	}
}

func (server *Server) sendEnd(stream frameSender, end *messenger.Frame, offset uint64) error {
	return server.send(stream, &messenger.Frame{
		Kind:             end.GetKind(),
		Offset:           offset,
		Fate:             end.GetFate(),
		Reason:           end.GetReason(),
		RetryAfterMicros: end.GetRetryAfterMicros(),
		FinishReason:     end.GetFinishReason(),
		Status:           end.GetStatus(),
		ContentType:      end.GetContentType(),
		PromptTokens:     end.GetPromptTokens(),
	})
}

func (server *Server) send(stream frameSender, frame *messenger.Frame) error {
	frame.Clock = server.now()
	frame.Load = server.Executor.Load()

	return errors.Trace(stream.Send(frame))
}

func (server *Server) now() uint64 {
	return uint64(server.Executor.Recorder.Clock.Now())
}

func (server *Server) observe(clock uint64) {
	server.Executor.Recorder.Clock.Observe(recorder.Stamp(clock))
}
