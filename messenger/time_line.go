package messenger

import (
	"context"

	"storj.io/drpc"

	"limpetrail/recorder"
)

// TimeLine serves queries for the events that a process keeps.
type TimeLine struct {
	Recorder *recorder.Recorder
}

var (
	_ DRPCTimeLineServer = (*TimeLine)(nil)
	_ Service            = (*TimeLine)(nil)
)

// NewTimeLine returns the service for one process's events.
func NewTimeLine(source *recorder.Recorder) *TimeLine {
	return &TimeLine{Recorder: source}
}

// RegisterService implements Service.
func (timeLine *TimeLine) RegisterService(mux drpc.Mux) error {
	return DRPCRegisterTimeLine(mux, timeLine)
}

// Events implements DRPCTimeLineServer.
func (timeLine *TimeLine) Events(_ context.Context, request *EventsRequest) (*EventsReply, error) {
	timeLine.Recorder.Clock.Observe(recorder.Stamp(request.GetClock()))

	return NewEventsReply(timeLine.Recorder, request), nil
}
