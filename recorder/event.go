package recorder

// Kind is what an event records.
type Kind string

// Kinds of events: first those of a request, in their usual order.
const (
	KindReceived   Kind = "Received"
	KindRouted     Kind = "Routed"
	KindAccepted   Kind = "Accepted"
	KindQueued     Kind = "Queued"
	KindStarted    Kind = "Started"
	KindFirstToken Kind = "FirstToken"
	KindAnswered   Kind = "Answered"
	KindRefused    Kind = "Refused"
	KindRetried    Kind = "Retried"
	KindResumed    Kind = "Resumed"
	KindRevoked    Kind = "Revoked"
	KindCancelled  Kind = "Cancelled"
	KindEjected    Kind = "Ejected"
	KindReturned   Kind = "Returned"
	KindDraining   Kind = "Draining"
	KindClaimed    Kind = "Claimed"
	KindJoined     Kind = "Joined"
	KindApplied    Kind = "Applied"
	KindOrdered    Kind = "Ordered"
	KindTakenOver  Kind = "TakenOver"
	KindCommitted  Kind = "Committed"
	KindRepaired   Kind = "Repaired"
	KindOutage     Kind = "Outage"
	KindEdited     Kind = "Edited"
)

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp
	Instance string
	Part     string
	Kind     Kind
	// RequestID and JobID are empty if the event concerns no request or job.
	RequestID string
	JobID     string
	// Details are the inputs of the decision that the event records, each as
	// Name=value.
	Details []string
}
