package claimer

// change is a requested change of a claim. It is idempotent, so a write whose
// answer was lost can be repeated.
type change struct {
	// apply returns the claim after the change, and whether the record changed.
	// An absent claim is the zero Claim.
	apply func(record *record) (Claim, bool)
	// done is closed after claim and err are set.
	done  chan struct{}
	claim Claim
	err   error
	// refusedWhenFull is set for a change that is refused while the record is
	// longer than MaxRecordBytes.
	refusedWhenFull bool
}

func newChange(apply func(record *record) (Claim, bool)) *change {
	return &change{apply: apply, done: make(chan struct{})}
}

// claimKey claims the key if it is free, or replaces the attempt of its claim if
// that is the revoked one: a sidecar confirmed that this attempt has not run and
// never will. If proposed has no attempt, the claim is only read.
func claimKey(proposed Claim, revoked string) *change {
	change := newChange(func(record *record) (Claim, bool) {
		current := record.find(proposed.Key)

		switch {
		case current == nil && proposed.Attempt == "":
			return Claim{}, false
		case current == nil:
			record.Claims = append(record.Claims, proposed)

			return proposed, true
		case proposed.Attempt == "" || current.Answered || revoked == "" || current.Attempt != revoked:
			return *current, false
		default:
			current.Attempt = proposed.Attempt
			current.Incarnation = proposed.Incarnation

			return *current, true
		}
	})
	change.refusedWhenFull = proposed.Attempt != ""

	return change
}

// setResult records the result of the answered attempt. It changes nothing if
// the claim names another attempt or is answered already.
func setResult(answered Claim) *change {
	return newChange(func(record *record) (Claim, bool) {
		current := record.find(answered.Key)
		if current == nil || current.Answered || current.Attempt != answered.Attempt {
			return Claim{}, false
		}

		current.Answered = true
		current.Result = answered.Result

		return *current, true
	})
}

// releaseClaim removes the claim if its attempt is the revoked one, which is known
// never to run.
func releaseClaim(key, revoked string) *change {
	return newChange(func(record *record) (Claim, bool) {
		current := record.find(key)
		if current == nil {
			return Claim{}, false
		}

		if current.Attempt != revoked {
			return *current, false
		}

		record.remove(key)

		return Claim{}, true
	})
}
