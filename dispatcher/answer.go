package dispatcher

// answer is what was delivered of a request's answer, over all its attempts.
type answer struct {
	sink Sink
	// events is what went to the sink, to resume after it elsewhere.
	events [][]byte
	begun  bool
}

func (answer *answer) begin(id string) error {
	if answer.begun {
		return nil
	}

	answer.begun = true

	return answer.sink.Begin(id)
}

func (answer *answer) event(event []byte) error {
	answer.events = append(answer.events, event)

	return answer.sink.Event(event)
}
