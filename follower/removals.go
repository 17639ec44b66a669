package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// remove drops a key from the copy, or does so after a delay. Age is the longest time that
// may have passed since the key's removal.
func (follower *Follower) remove(name string, age time.Duration) {
	item, found := follower.current[name]
	if _, pending := follower.removed[name]; !found || pending {
		return
	}

	follower.digest ^= digestOf(item)

	if !follower.DelayRemovals {
		delete(follower.current, name)

		return
	}

	now, outage := time.Now(), follower.Client.Outage()
	expiry := follower.RemovalBounds.expiry(now, age, outage)
	follower.removed[name] = expiry
	follower.Log.WithFields(logrus.Fields{
		"Prefix": follower.Prefix, "Key": name, "Revision": follower.revision, "Delay": expiry.Sub(now), "MaxAge": age, "LastFailure": outage.LastFailure, "Available": outage.End,
	}).Info("Key was removed; it leaves the copy after a delay.")
}

// nextExpiry returns a channel that receives when the next removed key must leave the copy;
// nil if there is none.
func (follower *Follower) nextExpiry() <-chan time.Time {
	if len(follower.removed) == 0 {
		return nil
	}

	return time.After(time.Until(slices.MinFunc(slices.Collect(maps.Values(follower.removed)), time.Time.Compare)))
}

// publishExpired publishes the copy if removed keys have left it.
func (follower *Follower) publishExpired() {
	if follower.dropExpired() {
		follower.publish()
	}
}

// dropExpired deletes the removed keys whose delay is over, and tells whether there
// were any.
func (follower *Follower) dropExpired() bool {
	dropped := false

	for name, expiry := range follower.removed {
		if !time.Now().Before(expiry) {
			delete(follower.removed, name)
			delete(follower.current, name)
			follower.Log.WithFields(logrus.Fields{
				"Prefix": follower.Prefix, "Key": name, "Late": time.Since(expiry),
			}).Info("Removed key left the copy.")

			dropped = true
		}
	}

	return dropped
}

// dropExpiredDuring makes a call that takes a while and drops removed keys from the copy
// meanwhile, whether the service answers or not. It ends the call's context and returns true
// if it receives from missed.
func (follower *Follower) dropExpiredDuring(ctx context.Context, missed <-chan struct{}, call func(ctx context.Context)) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	done := make(chan struct{})

	go func() {
		defer close(done)

		call(ctx)
	}()

	for ended := false; ; {
		select {
		case <-done:
			return ended
		case <-follower.nextExpiry():
			follower.publishExpired()
		case <-missed:
			ended = true

			cancel()
		}
	}
}
