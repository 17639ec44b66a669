package registrar

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// leaseDuration is how long a dead member stays listed. Its jobs wait that long
	// for another owner.
	leaseDuration = 3 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = time.Second
	// retryInterval is the pause after a failed attempt.
	retryInterval = 300 * time.Millisecond
	// revokeTimeout is the deadline for revoking the lease at a planned stop.
	revokeTimeout = time.Second
)

// Registrar keeps this process registered in the list of members.
type Registrar struct {
	kernel.Common
	Client *keeper.CatalogClient
	Member Member

	lease keeper.LeaseID
	// registered is true if the entry was written with the current lease.
	registered atomic.Bool
	// lastRenewal is when the last successful registration or renewal started.
	lastRenewal atomic.Pointer[time.Time]
	// reregister signals that the entry must be written again; it buffers one
	// signal.
	reregister chan struct{}
}

// NewRegistrar returns a registrar for the member.
func NewRegistrar(common kernel.Common, client *keeper.CatalogClient, member Member) *Registrar {
	return &Registrar{Common: common.ForPart("registrar"), Client: client, Member: member, reregister: make(chan struct{}, 1)}
}

// RegistrationValid returns whether the lease of this process cannot have expired yet,
// so that others still see the process as live. The monotonic clock stops while the host
// is suspended and the wall clock may be set, so the lease must be valid by both.
func (registrar *Registrar) RegistrationValid() bool {
	lastRenewal := registrar.lastRenewal.Load()
	if lastRenewal == nil || !registrar.registered.Load() {
		return false
	}

	monotonic, wall := time.Since(*lastRenewal), time.Now().Round(0).Sub(lastRenewal.Round(0))

	return max(monotonic, wall) < leaseDuration
}

// CheckEntry checks this process's entry in the list of members. The platform may remove
// keys without an error in any call, so a missing or different entry is written
// again.
func (registrar *Registrar) CheckEntry(members map[string]Member) {
	if !registrar.registered.Load() || members[registrar.Member.Name] == registrar.Member {
		return
	}

	select {
	case registrar.reregister <- struct{}{}:
	default:
	}
}

// Run keeps the process registered until the context ends, and then removes the
// entry.
func (registrar *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := renewInterval

		started := time.Now()

		err := registrar.renewOrRegister(ctx)
		if err != nil {
			pause = retryInterval
		} else {
			registrar.lastRenewal.Store(&started)
		}

		if registrar.registered.Swap(err == nil) != (err == nil) {
			registrar.Log.WithField("Registered", err == nil).WithField("Error", err).Info("Registration in the list of members changed.")
		}

		select {
		case <-time.After(pause):
		case <-registrar.reregister:
			registrar.registered.Store(false)
			// The pause keeps two processes with the same name from overwriting each
			// other in a tight loop.
			kernel.Pause(ctx, retryInterval)
		case <-ctx.Done():
		}
	}

	registrar.deregister(ctx)
}

func (registrar *Registrar) renewOrRegister(ctx context.Context) error {
	if registrar.registered.Load() {
		return errors.Trace(registrar.Client.Renew(ctx, registrar.lease))
	}

	return errors.Trace(registrar.register(ctx))
}

// register writes the entry with a new lease, and overwrites an entry of an earlier
// incarnation.
func (registrar *Registrar) register(ctx context.Context) error {
	key := MembersPrefix + registrar.Member.Name

	present, err := registrar.Client.Get(ctx, key)
	if err != nil {
		return errors.Trace(err)
	}

	lease, _, err := registrar.Client.Grant(ctx, leaseDuration)
	if err != nil {
		return errors.Trace(err)
	}

	value, err := json.Marshal(registrar.Member)
	if err != nil {
		return errors.Trace(err)
	}

	result, err := registrar.Client.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key, Revision: present.Revision}},
		Puts:       []keeper.Put{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		return errors.Trace(err)
	}

	if result.Applied != keeper.WriteApplied {
		return errors.Errorf("the entry of %s changed meanwhile", registrar.Member.Name)
	}

	registrar.lease = lease

	return nil
}

func (registrar *Registrar) deregister(ctx context.Context) {
	if registrar.lease == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()

	if err := registrar.Client.Revoke(ctx, registrar.lease); err != nil {
		registrar.Log.WithError(err).Warn("Revoking the registration failed; other processes list this one until its lease expires.")
	}
}
