package app

import (
	"context"
	"time"

	"limpetrail/admitter"
	"limpetrail/loader"
	"limpetrail/publisher"
)

const policyInterval = time.Second

// PolicyFollower brings the policy of the sidecar's service into force at its
// admission whenever the document changes.
type PolicyFollower struct {
	Publisher *publisher.Publisher
	Admitter  *admitter.Adaptive
	// Service is the service of the backend server.
	Service string
}

var _ Duty = (*PolicyFollower)(nil)

// NewPolicyFollower returns a follower for the backend server of the settings.
func NewPolicyFollower(settings loader.Sidecar, documents *publisher.Publisher, admission *admitter.Adaptive) *PolicyFollower {
	return &PolicyFollower{Publisher: documents, Admitter: admission, Service: settings.BackendServer.Service}
}

// Run implements Duty.
func (follower *PolicyFollower) Run(ctx context.Context) {
	ticker := time.NewTicker(policyInterval)
	defer ticker.Stop()

	last := follower.Publisher.Current().Revision

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		if snapshot := follower.Publisher.Current(); snapshot.Revision != last {
			last = snapshot.Revision
			follower.apply(snapshot)
		}
	}
}

// apply sets the service's policy. One that the document does not name has the
// defaults.
func (follower *PolicyFollower) apply(snapshot publisher.Snapshot) {
	service, _ := snapshot.Index.Service(follower.Service)

	policy, found := snapshot.Index.Policy(service.Policy)
	if !found {
		made := admitter.NewPolicy(policy, snapshot.Index.Document.Firms)
		made.Reserve = admitter.DefaultPolicy().Reserve
		follower.Admitter.SetPolicy(made)

		return
	}

	follower.Admitter.SetPolicy(admitter.NewPolicy(policy, snapshot.Index.Document.Firms))
}
