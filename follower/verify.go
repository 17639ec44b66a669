package follower

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

// verificationCheckInterval is how often a follower checks whether a verification is due.
const verificationCheckInterval = 100 * time.Millisecond

// errMissed is the cause if a list of the prefix shows, or a peer knows, a change that the
// watch has not returned.
var errMissed = errors.New("the watch has missed a change")

// WithVerification lists the prefix in addition to the watch, so that a change is detected
// within the given time even if no watch in the fleet receives it; 0 for no verification.
// Turns returns how many turns after the verification of a peer (of this process, if empty)
// this process has its own, or 0 if there are no peers that hear it; nil for no peers.
func WithVerification(within time.Duration, turns func(peer string) int) Option {
	return func(follower *Follower) {
		follower.verification.within, follower.verification.turns = within, turns
	}
}

// WithVerified sets a function that is called after each verification of this process, so
// that peers can be told soon.
func WithVerified(verified func()) Option {
	return func(follower *Follower) { follower.Verified = verified }
}

// Verification returns this process's last verification of the prefix, and whether it is
// recent enough to be reported.
func (follower *Follower) Verification() (Verification, bool) {
	return follower.verification.current(time.Now())
}

// ApplyPeerVerification records that a peer has verified its copy of the prefix.
func (follower *Follower) ApplyPeerVerification(peer string, heard Verification) {
	follower.verification.recordPeer(peer, heard, time.Now())
}

// superviseCopy verifies the copy, and ends the watch once it has missed a change, until the
// context ends.
func (follower *Follower) superviseCopy(ctx context.Context) {
	if follower.verification.within <= 0 {
		return
	}

	for kernel.Pause(ctx, verificationCheckInterval) {
		// Without a list there is nothing to verify; it is being requested.
		if follower.verification.lastVerified().IsZero() {
			continue
		}

		follower.verification.recordRevisions(follower.progress.known(), follower.progress.peerNewest.Load(), time.Now())

		if follower.verification.hasMissed(time.Now()) {
			select {
			case follower.missed <- struct{}{}:
			default:
			}

			continue
		}

		if follower.verification.isDue(time.Now()) {
			follower.verify(ctx)
		}
	}
}

// verify lists the prefix beside the watch and compares the list with the copy.
func (follower *Follower) verify(ctx context.Context) {
	began, peerNewest := time.Now(), follower.progress.peerNewest.Load()
	follower.verification.recordAttempt(began)

	listing := follower.readAll(ctx)
	if listing.err != nil {
		if !follower.verificationFailed && ctx.Err() == nil {
			follower.Log.WithField("Prefix", follower.Prefix).WithField("Error", listing.err).Info("Copy cannot be verified; the key-value service does not answer.")
		}

		follower.verificationFailed = true

		return
	}

	follower.verificationFailed = false
	follower.Metrics.Counter("verifications").Inc(1)

	if follower.verification.recordListed(began, digestOf(listing.items...), time.Now()) {
		follower.progress.recordListed(uint64(listing.revision), peerNewest)
	}

	follower.reportVerified()
}

// reportVerified tells the owner that this process has verified its copy.
func (follower *Follower) reportVerified() {
	if follower.Verified != nil && follower.verification.within > 0 {
		follower.Verified()
	}
}

// logMissed logs that the watch has missed a change.
func (follower *Follower) logMissed() {
	follower.Metrics.Counter("missed_changes").Inc(1)
	follower.Log.WithFields(logrus.Fields{
		"Prefix": follower.Prefix, "Revision": follower.revision, "Heard": follower.progress.peerNewest.Load(), "VerifiedAgo": time.Since(follower.verification.lastVerified()),
	}).Warn("Watch has missed a change; listing the prefix again.")
}
