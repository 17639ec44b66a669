package app

import (
	"context"
	"time"

	"limpetrail/admitter"
	"limpetrail/loader"
	"limpetrail/publisher"
)

const policyCheckInterval = time.Second

// PolicyFollower applies the policy of the sidecar's service to its admission whenever
// the document changes.
type PolicyFollower struct {
	Publisher *publisher.Publisher
	Admitter  *admitter.Adaptive
	// Service is the service of the backend server.
	Service string
}

var _ BackgroundTask = (*PolicyFollower)(nil)

// NewPolicyFollower returns a follower for the service that the settings name.
func NewPolicyFollower(settings loader.Sidecar, documents *publisher.Publisher, admission *admitter.Adaptive) *PolicyFollower {
	return &PolicyFollower{Publisher: documents, Admitter: admission, Service: settings.BackendServer.Service}
}

// Run implements BackgroundTask.
func (follower *PolicyFollower) Run(ctx context.Context) {
	ticker := time.NewTicker(policyCheckInterval)
	defer ticker.Stop()

	lastRevision := follower.Publisher.Current().Revision

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		if snapshot := follower.Publisher.Current(); snapshot.Revision != lastRevision {
			lastRevision = snapshot.Revision
			follower.apply(snapshot)
		}
	}
}

// apply sets the service's policy, or the default reserve if the document names no
// policy for it.
func (follower *PolicyFollower) apply(snapshot publisher.Snapshot) {
	service, _ := snapshot.Index.Service(follower.Service)

	policy, found := snapshot.Index.Policy(service.Policy)
	if !found {
		defaultPolicy := admitter.NewPolicy(policy, snapshot.Index.Document.Firms)
		defaultPolicy.Reserve = admitter.DefaultPolicy().Reserve
		follower.Admitter.SetPolicy(defaultPolicy)

		return
	}

	follower.Admitter.SetPolicy(admitter.NewPolicy(policy, snapshot.Index.Document.Firms))
}
