package executor

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"limpetrail/messenger"
	"limpetrail/recorder"
)

// maxFrameBytes bounds the events of one frame, but for a single larger one.
const maxFrameBytes = 256 << 10

// OrderTaker guards the engine's orders and knows what it has loaded.
type OrderTaker interface {
	Take(ctx context.Context, request *messenger.OrderRequest) *messenger.OrderReply
	Models() []string
}

// Server answers the sidecar's calls from entries.
type Server struct {
	Executor *Executor
	// Orders is nil beside a plain service, which takes none.
	Orders OrderTaker
}

var (
	_ messenger.DRPCSidecarServer = (*Server)(nil)
	_ messenger.Service           = (*Server)(nil)
)

// ServerOption changes a Server at construction.
type ServerOption func(*Server)

// WithOrders sets who takes orders to the engine.
func WithOrders(orders OrderTaker) ServerOption {
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

// frameSender is what both streaming calls send on.
type frameSender interface {
	Context() context.Context
	Send(frame *messenger.Frame) error
}

// Hello tells which start of the sidecar this is.
func (server *Server) Hello(_ context.Context, request *messenger.HelloRequest) (*messenger.HelloReply, error) {
	server.observe(request.GetClock())

	reply := &messenger.HelloReply{
		Clock:       server.now(),
		Instance:    server.Executor.Instance,
		Incarnation: server.Executor.Number(),
		Load:        server.Executor.Load(),
	}
	if server.Orders != nil {
		reply.Models = server.Orders.Models()
	}

	return reply, nil
}

// Execute runs a request and streams its answer.
func (server *Server) Execute(request *messenger.ExecuteRequest, stream messenger.DRPCSidecar_ExecuteStream) error {
	server.observe(request.GetClock())

	// The bare incarnation is for this process's own requests.
	if request.GetIncarnation() == server.Executor.Incarnation {
		return server.refuse(stream, messenger.Fate_FATE_NOT_RUN, "the request carries no number")
	}

	run, err := server.Executor.Submit(request)
	if err != nil {
		return server.refuse(stream, messenger.Fate_FATE_NOT_RUN, err.Error())
	}

	return server.follow(run, 0, stream)
}

func (server *Server) refuse(stream frameSender, fate messenger.Fate, reason string) error {
	return server.send(stream, &messenger.Frame{
		Kind:        messenger.FrameKind_FRAME_KIND_REFUSED,
		Fate:        fate,
		Reason:      reason,
		Incarnation: server.Executor.Number(),
	})
}

// Resume streams the rest of an answer from an offset. An unknown request ends
// with the fate unknown: the asker revokes it to learn more.
func (server *Server) Resume(request *messenger.ResumeRequest, stream messenger.DRPCSidecar_ResumeStream) error {
	server.observe(request.GetClock())

	run := server.Executor.Find(request.GetRequestId())
	if run == nil {
		return server.refuse(stream, messenger.Fate_FATE_UNKNOWN, "no such request here")
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
		Incarnation: server.Executor.Number(),
	}, nil
}

// Order passes an order to the engine.
func (server *Server) Order(ctx context.Context, request *messenger.OrderRequest) (*messenger.OrderReply, error) {
	server.observe(request.GetClock())

	if server.Orders == nil {
		return &messenger.OrderReply{Clock: server.now(), Reason: "a plain service takes no orders"}, nil
	}

	reply := server.Orders.Take(ctx, request)
	reply.Clock = server.now()

	return reply, nil
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

	accepted := &messenger.Frame{Kind: messenger.FrameKind_FRAME_KIND_ACCEPTED, Incarnation: server.Executor.Number()}
	if err := server.send(stream, accepted); err != nil {
		return err
	}

	ticker := time.NewTicker(server.Executor.Settings.Heartbeat)
	defer ticker.Stop()

	var reported *messenger.LoadReport

	for {
		events, end, changed := run.After(offset)
		if len(events) > 0 {
			frame := dataFrame(offset, events, end)

			// A report that this stream has sent already says nothing new.
			if report := server.Executor.frameLoad(); report != reported {
				frame.Load = report
				reported = report
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

// dataFrame returns a frame of bounded size with the first of the events. When
// it holds the last ones of an answered request it says so.
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
		Incarnation:      server.Executor.Number(),
		Unreached:        end.GetUnreached(),
	})
}

// send sends a frame with the present load.
func (server *Server) send(stream frameSender, frame *messenger.Frame) error {
	frame.Load = server.Executor.Load()

	return server.transmit(stream, frame)
}

func (server *Server) transmit(stream frameSender, frame *messenger.Frame) error {
	frame.Clock = server.now()

	return errors.Trace(stream.Send(frame))
}

func (server *Server) now() uint64 {
	return uint64(server.Executor.Recorder.Clock.Now())
}

func (server *Server) observe(clock uint64) {
	server.Executor.Recorder.Clock.Observe(recorder.Stamp(clock))
}
