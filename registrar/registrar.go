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
	// leaseTime is how long a member that is gone stays listed. Its jobs wait
	// that long for another owner.
	leaseTime = 3 * time.Second
	// renewInterval leaves two tries before the lease ends.
	renewInterval = time.Second
	// retryInterval after a call that failed.
	retryInterval = 300 * time.Millisecond
	// leaveTimeout bounds the end of the lease at a planned stop.
	leaveTimeout = time.Second
)

// Registrar lists this process.
type Registrar struct {
	kernel.Common
	Client *keeper.CatalogClient
	Member Member

	lease keeper.LeaseID
	// registered tells whether the entry was written under the present lease.
	registered atomic.Bool
	// renewed is when the last call that kept the lease began.
	renewed atomic.Pointer[time.Time]
	// missing asks for a new entry; it holds at most one request.
	missing chan struct{}
}

// NewRegistrar returns a registrar for the member.
func NewRegistrar(common kernel.Common, client *keeper.CatalogClient, member Member) *Registrar {
	return &Registrar{Common: common.ForPart("registrar"), Client: client, Member: member, missing: make(chan struct{}, 1)}
}

// Certain tells whether others see this process as live: its lease cannot have
// run out yet. The steady clock stands still while a machine is suspended, and
// the time of day may be set, so both have to agree.
func (registrar *Registrar) Certain() bool {
	renewed := registrar.renewed.Load()
	if renewed == nil || !registrar.registered.Load() {
		return false
	}

	steady, ofDay := time.Since(*renewed), time.Now().Round(0).Sub(renewed.Round(0))

	return max(steady, ofDay) < leaseTime
}

// Notice takes in the list of members. The platform can take keys away without
// any call that shows it, so an entry that is missing is written anew.
func (registrar *Registrar) Notice(members map[string]Member) {
	if !registrar.registered.Load() || members[registrar.Member.Name] == registrar.Member {
		return
	}

	select {
	case registrar.missing <- struct{}{}:
	default:
	}
}

// Run keeps the entry until the context ends, and then removes it.
func (registrar *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := renewInterval

		begun := time.Now()

		err := registrar.keep(ctx)
		if err != nil {
			pause = retryInterval
		} else {
			registrar.renewed.Store(&begun)
		}

		if registrar.registered.Swap(err == nil) != (err == nil) {
			registrar.Log.WithField("Registered", err == nil).WithField("Error", err).Info("Registration changed.")
		}

		select {
		case <-time.After(pause):
		case <-registrar.missing:
			registrar.registered.Store(false)
			// Two processes of one name must not overwrite each other without end.
			kernel.Pause(ctx, retryInterval)
		case <-ctx.Done():
		}
	}

	registrar.leave(ctx)
}

func (registrar *Registrar) keep(ctx context.Context) error {
	if registrar.registered.Load() {
		return errors.Trace(registrar.Client.Renew(ctx, registrar.lease))
	}

	return errors.Trace(registrar.register(ctx))
}

// register writes the entry under a new lease, whatever an earlier incarnation
// left.
func (registrar *Registrar) register(ctx context.Context) error {
	key := Prefix + registrar.Member.Name

	present, err := registrar.Client.Get(ctx, key)
	if err != nil {
		return errors.Trace(err)
	}

	lease, _, err := registrar.Client.Grant(ctx, leaseTime)
	if err != nil {
		return errors.Trace(err)
	}

	value, err := json.Marshal(registrar.Member)
	if err != nil {
		return errors.Trace(err)
	}

	committed, err := registrar.Client.Transact(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key, Revision: present.Revision}},
		Puts:       []keeper.Put{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		return errors.Trace(err)
	}

	if committed.Applied != keeper.WriteApplied {
		return errors.Errorf("the entry of %s changed meanwhile", registrar.Member.Name)
	}

	registrar.lease = lease

	return nil
}

func (registrar *Registrar) leave(ctx context.Context) {
	if registrar.lease == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()

	if err := registrar.Client.Revoke(ctx, registrar.lease); err != nil {
		registrar.Log.WithError(err).Warn("The entry stays listed until its lease ends.")
	}
}
