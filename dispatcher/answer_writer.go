package dispatcher

// answerWriter writes a request's answer to the sink. All attempts of a request
// share it.
type answerWriter struct {
	sink Sink
	// events holds the delivered events, so that another replica can continue
	// after them.
	events  [][]byte
	started bool
}

func (writer *answerWriter) begin(id string) error {
	if writer.started {
		return nil
	}

	writer.started = true

	return writer.sink.Begin(id)
}

func (writer *answerWriter) writeEvent(event []byte) error {
	writer.events = append(writer.events, event)

	return writer.sink.Event(event)
}
