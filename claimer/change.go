package claimer

// change is one wanted change of a claim. Applying it again to a record that
// holds it already changes nothing, which settles a write whose answer was
// lost.
type change struct {
	// apply returns the claim after it, and whether the record changed. An
	// absent claim is the zero Claim.
	apply func(record *record) (Claim, bool)
	// done is closed once claim and err are set.
	done  chan struct{}
	claim Claim
	err   error
	// grows is set for a change that a full record refuses.
	grows bool
}

func newChange(apply func(record *record) (Claim, bool)) *change {
	return &change{apply: apply, done: make(chan struct{})}
}

// begin claims the key, or moves the claim on from an attempt that is known to
// be revoked. Without an attempt it only looks.
func begin(wanted Claim, revoked string) *change {
	change := newChange(func(record *record) (Claim, bool) {
		present := record.find(wanted.Key)

		switch {
		case present == nil && wanted.Attempt == "":
			return Claim{}, false
		case present == nil:
			record.Claims = append(record.Claims, wanted)

			return wanted, true
		case wanted.Attempt == "" || present.Answered || revoked == "" || present.Attempt != revoked:
			return *present, false
		default:
			present.Attempt = wanted.Attempt
			present.Incarnation = wanted.Incarnation

			return *present, true
		}
	})
	change.grows = wanted.Attempt != ""

	return change
}

// settle records the result of the claim's attempt.
func settle(wanted Claim) *change {
	return newChange(func(record *record) (Claim, bool) {
		present := record.find(wanted.Key)
		if present == nil || present.Answered || present.Attempt != wanted.Attempt {
			return Claim{}, false
		}

		present.Answered = true
		present.Result = wanted.Result

		return *present, true
	})
}

// release drops a claim whose attempt is known to be revoked.
func release(key, revoked string) *change {
	return newChange(func(record *record) (Claim, bool) {
		present := record.find(key)
		if present == nil {
			return Claim{}, false
		}

		if present.Attempt != revoked {
			return *present, false
		}

		record.remove(key)

		return Claim{}, true
	})
}
