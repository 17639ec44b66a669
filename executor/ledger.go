package executor

import "time"

// windowMask covers the low bits of a number, which count the windows of one
// start. The upper bits are the start.
const windowMask = 1<<24 - 1

// ledger decides which numbers a request may carry and how long the IDs of
// ended requests are remembered. An ID is forgotten only once every number
// that a copy of its request can carry is refused, so that no delayed copy
// starts after its answer, refusal or revocation was forgotten. It is guarded
// by the executor's mutex.
type ledger struct {
	// base is the start of the sidecar; its low bits are zero.
	base uint64
	// window is the newest number; the one before it is accepted as well.
	window uint64
	// oldest is the lowest number that is accepted.
	oldest uint64
	// turned is when the newest window began.
	turned time.Time
	// answers lists runs whose answer is kept, in order of their end.
	answers []ended
	// records lists all ended runs, in order of their end.
	records []record
	// retained is the sum of the bytes of answers.
	retained int
}

// ended is a run whose answer may be read again.
type ended struct {
	run   *Run
	bytes int
	at    time.Time
}

// record is the ID of a run that must not start again.
type record struct {
	id string
	// window is the newest number at the run's end.
	window uint64
}

func newLedger(start uint64) ledger {
	base := start &^ windowMask

	return ledger{base: base, window: base + 1, oldest: base + 1, turned: time.Now()}
}

// accepts tells whether a request of that number may start here.
func (ledger *ledger) accepts(number uint64) bool {
	return number >= ledger.oldest && number <= ledger.window
}

// add keeps an ended run.
func (ledger *ledger) add(id string, run *Run, bytes int) {
	now := time.Now()
	ledger.answers = append(ledger.answers, ended{run: run, bytes: bytes, at: now})
	ledger.records = append(ledger.records, record{id: id, window: ledger.window})
	ledger.retained += bytes
}

// turn begins a window when the present one is old enough, or when there are
// too many records; then no earlier number is accepted any more.
func (ledger *ledger) turn(settings Settings) {
	overfull := len(ledger.records) > settings.Records
	if !overfull && time.Since(ledger.turned) < settings.Retain {
		return
	}

	ledger.oldest = ledger.window
	ledger.window++
	ledger.turned = time.Now()

	if overfull {
		ledger.oldest = ledger.window
	}
}

// forget drops the answers that are too old or too many, and returns the IDs
// that no accepted number can bring back.
func (ledger *ledger) forget(settings Settings) []string {
	for len(ledger.answers) > 0 {
		first := ledger.answers[0]
		if ledger.retained <= settings.RetainBytes && time.Since(first.at) <= settings.Retain {
			break
		}

		first.run.drop()

		ledger.retained -= first.bytes
		ledger.answers = ledger.answers[1:]
	}

	forgotten := []string{}
	for len(ledger.records) > 0 && ledger.records[0].window < ledger.oldest {
		forgotten = append(forgotten, ledger.records[0].id)
		ledger.records = ledger.records[1:]
	}

	return forgotten
}

// lastEnd is when the newest kept run ended; zero when none is kept.
func (ledger *ledger) lastEnd() time.Time {
	if len(ledger.answers) == 0 {
		return time.Time{}
	}

	return ledger.answers[len(ledger.answers)-1].at
}
