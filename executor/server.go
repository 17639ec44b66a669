package executor

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/messenger"
	"limpetrail/recorder"
)

// maxFrameBytes limits the events in one frame; a single larger event is sent in
// a frame of its own.
const maxFrameBytes = 256 << 10

// OrderExecutor executes a planner's orders at the engine and returns which models
// the engine has loaded.
type OrderExecutor interface {
	ExecuteOrder(ctx context.Context, request *messenger.OrderRequest) *messenger.OrderReply
	LoadedModels() []string
}

// Server serves the sidecar's RPCs to entries.
type Server struct {
	Executor *Executor
	// Orders is nil for a plain service, which accepts no orders.
	Orders OrderExecutor
}

var (
	_ messenger.DRPCSidecarServer = (*Server)(nil)
	_ messenger.Service           = (*Server)(nil)
)

// ServerOption configures a Server at construction.
type ServerOption func(*Server)

// WithOrders sets the component that executes orders at the engine.
func WithOrders(orders OrderExecutor) ServerOption {
	return func(server *Server) { server.Orders = orders }
}

// NewServer returns a server for the executor.
func NewServer(executor *Executor, options ...ServerOption) *Server {
	server := &Server{Executor: executor}
	for _, option := range options {
		option(server)
	}

	return server
}

// RegisterService implements messenger.Service.
func (server *Server) RegisterService(mux drpc.Mux) error {
	return messenger.DRPCRegisterSidecar(mux, server)
}

// frameSender is the stream of either streaming RPC.
type frameSender interface {
	Context() context.Context
	Send(frame *messenger.Frame) error
}

// Hello returns the sidecar's current epoch, load and loaded models.
func (server *Server) Hello(_ context.Context, request *messenger.HelloRequest) (*messenger.HelloReply, error) {
	server.observeClock(request.GetClock())

	reply := &messenger.HelloReply{
		Clock:       server.now(),
		Instance:    server.Executor.Instance,
		Incarnation: server.Executor.Epoch(),
		Load:        server.Executor.Load(),
	}
	if server.Orders != nil {
		reply.Models = server.Orders.LoadedModels()
	}

	return reply, nil
}

// Execute runs a request and streams its answer.
func (server *Server) Execute(request *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	server.observeClock(request.GetClock())
	server.Executor.Quarantiner.DecodeFindings(request.GetRequestId(), request.GetFindings())
	request.Findings = nil

	// Only the process's own requests may carry the incarnation instead of an epoch.
	if request.GetIncarnation() == server.Executor.Incarnation {
		return server.sendRefusal(stream, messenger.Fate_FATE_NOT_RUN, "the request carries no number")
	}

	run, err := server.Executor.Submit(request)
	if err != nil {
		return server.sendRefusal(stream, messenger.Fate_FATE_NOT_RUN, err.Error())
	}

	return server.streamRun(run, 0, stream)
}

// sendRefusal sends a refusal with the current epoch, so that the entry can use it.
func (server *Server) sendRefusal(stream frameSender, fate messenger.Fate, reason string) error {
	return server.send(stream, &messenger.Frame{
		Kind:        messenger.FrameKind_FRAME_KIND_REFUSED,
		Fate:        fate,
		Reason:      reason,
		Incarnation: server.Executor.Epoch(),
	})
}

// Resume streams the rest of an answer from an offset. An unknown request gets
// the fate unknown; the caller revokes it to learn whether it ran.
func (server *Server) Resume(request *messenger.ResumeRequest, stream messenger.DRPCSidecar_ResumeStream) error {
	server.observeClock(request.GetClock())

	run := server.Executor.Find(request.GetRequestId())
	if run == nil {
		return server.sendRefusal(stream, messenger.Fate_FATE_UNKNOWN, "no such request here")
	}

	server.Executor.recordEvent(recorder.KindResumed, request.GetRequestId())

	return server.streamRun(run, request.GetOffset(), stream)
}

// Revoke returns whether a request ran, and prevents one that has not started
// from ever starting.
func (server *Server) Revoke(_ context.Context, request *messenger.RevokeRequest) (*messenger.RevokeReply, error) {
	server.observeClock(request.GetClock())
	fate, offset := server.Executor.Revoke(request.GetRequestId(), request.GetIncarnation(), request.GetCancel())

	return &messenger.RevokeReply{
		Clock:       server.now(),
		Fate:        fate,
		Offset:      offset,
		Incarnation: server.Executor.Epoch(),
	}, nil
}

// Order executes a planner's order at the engine.
func (server *Server) Order(ctx context.Context, request *messenger.OrderRequest) (*messenger.OrderReply, error) {
	server.observeClock(request.GetClock())

	if server.Orders == nil {
		return &messenger.OrderReply{Clock: server.now(), Reason: "a plain service takes no orders"}, nil
	}

	reply := server.Orders.ExecuteOrder(ctx, request)
	reply.Clock = server.now()

	return reply, nil
}

// Drain makes the sidecar refuse new requests.
func (server *Server) Drain(_ context.Context, request *messenger.DrainRequest) (*messenger.DrainReply, error) {
	server.observeClock(request.GetClock())
	server.Executor.Drain()

	load := server.Executor.Load()

	return &messenger.DrainReply{Clock: server.now(), Running: load.GetRunningOnline() + load.GetRunningBatch()}, nil
}

// streamRun streams a run's events from the offset on. It sends a progress frame
// at each heartbeat while there are no events.
func (server *Server) streamRun(run *Run, offset uint64, stream frameSender) error {
	defer run.Follow()()

	accepted := &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_ACCEPTED, Incarnation: server.Executor.Epoch()}
	if err := server.send(stream, accepted); err != nil {
		return err
	}

	ticker := time.NewTicker(server.Executor.Settings.Heartbeat)
	defer ticker.Stop()

	var sentReport *messenger.LoadReport

	for {
		events, end, changed := run.EventsAfter(offset)
		if len(events) > 0 {
			frame := dataFrame(offset, events, end)

			// Omit a report that this stream has already sent.
			if report := server.Executor.cachedLoad(); report != sentReport {
				frame.Load = report
				sentReport = report
			}

			if err := server.transmit(stream, frame); err != nil {
				return err
			}

			offset += uint64(len(frame.GetEvents()))

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

// dataFrame returns a frame of bounded size with the first of the events. If it
// contains the last events of an answered request it is marked as complete and
// carries the fields of the end frame.
func dataFrame(offset uint64, events [][]byte, end *messenger.Frame) *messenger.Frame {
	count, bytes := 1, len(events[0])
	for count < len(events) && bytes+len(events[count]) <= maxFrameBytes {
		bytes += len(events[count])
		count++
	}

	frame := &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_DATA, Offset: offset, Events: events[:count]}

	if end != nil && end.GetFate() == messenger.Fate_FATE_ANSWERED && count == len(events) {
		frame.Complete = true
		frame.FinishReason = end.GetFinishReason()
		frame.Status = end.GetStatus()
		frame.ContentType = end.GetContentType()
		frame.PromptTokens = end.GetPromptTokens()
	}

	return frame
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
		Incarnation:      server.Executor.Epoch(),
		Unreached:        end.GetUnreached(),
		ServerEnds:       end.GetServerEnds(),
	})
}

// send sends a frame with the current load.
func (server *Server) send(stream frameSender, frame *messenger.Frame) error {
	frame.Load = server.Executor.Load()
	frame.Findings = server.Executor.Quarantiner.EncodeFindings()

	return server.transmit(stream, frame)
}

// transmit sends a frame with the current clock.
func (server *Server) transmit(stream frameSender, frame *messenger.Frame) error {
	frame.Clock = server.now()

	return errors.Trace(stream.Send(frame))
}

func (server *Server) now() uint64 {
	return uint64(server.Executor.Recorder.Clock.Now())
}

func (server *Server) observeClock(clock uint64) {
	server.Executor.Recorder.Clock.Observe(recorder.Stamp(clock))
}
