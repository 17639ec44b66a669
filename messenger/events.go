package messenger

import "limpetrail/recorder"

// NewEventsReply returns the events of one process that match the request.
func NewEventsReply(source *recorder.Recorder, request *EventsRequest) *EventsReply {
	found := source.Find(recorder.Query{
		RequestID: request.GetRequestId(),
		JobID:     request.GetJobId(),
		Limit:     int(request.GetLimit()),
	})

	reply := &EventsReply{Clock: uint64(source.Clock.Now())}
	for _, event := range found {
		reply.Events = append(reply.Events, &Event{
			Clock:     uint64(event.Stamp),
			Instance:  event.Instance,
			Part:      event.Part,
			Kind:      string(event.Kind),
			RequestId: event.RequestID,
			JobId:     event.JobID,
			Details:   event.Details,
		})
	}

	return reply
}

// ToRecorderEvent returns the event as the recorder knows it.
func (event *Event) ToRecorderEvent() recorder.Event {
	return recorder.Event{
		Stamp:     recorder.Stamp(event.GetClock()),
		Instance:  event.GetInstance(),
		Part:      event.GetPart(),
		Kind:      recorder.Kind(event.GetKind()),
		RequestID: event.GetRequestId(),
		JobID:     event.GetJobId(),
		Details:   event.GetDetails(),
	}
}
