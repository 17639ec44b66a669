package registrar_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/follower"
	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/registrar"
)

// fixture is a running registrar, the subject, with an emulated catalog and the list
// of members as a follower reads it.
type fixture struct {
	t       *testing.T
	catalog *emulator.Catalog
	subject *registrar.Registrar
	stop    context.CancelFunc
	member  registrar.Member

	mutex   sync.Mutex
	members map[string]registrar.Member
}

func withRegistrar(t *testing.T, scenario func(fixture *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{t: t, catalog: emulator.NewCatalog(), member: registrar.Member{Name: "a", Incarnation: "1", Address: "address"}}
		client := keeper.NewCatalogClient(kernel.NewDiscardCommon("a"), fixture.catalog.NewClient(), keeper.DefaultSettings())
		fixture.subject = registrar.NewRegistrar(kernel.NewDiscardCommon("a"), client, fixture.member)

		ctx, cancel := context.WithCancel(context.Background())
		fixture.stop = cancel
		followCtx, stopFollower := context.WithCancel(context.Background())
		group := sync.WaitGroup{}
		group.Go(func() { fixture.subject.Run(ctx) })
		group.Go(func() {
			follower.NewFollower(kernel.NewDiscardCommon("a"), client, registrar.MembersPrefix, func(copied follower.Copy) {
				members, err := registrar.DecodeMembers(copied)
				require.NoError(t, err)
				fixture.subject.CheckEntry(members)

				fixture.mutex.Lock()
				defer fixture.mutex.Unlock()

				fixture.members = members
			}).Run(followCtx)
		})

		time.Sleep(time.Second)
		scenario(fixture)
		cancel()
		stopFollower()
		group.Wait()
		time.Sleep(time.Hour)
	})
}

func (fixture *fixture) listed() bool {
	item, err := fixture.catalog.Get(context.Background(), registrar.MembersPrefix+"a")
	require.NoError(fixture.t, err)

	return item.Revision > 0
}

func TestMemberStaysListed(t *testing.T) {
	withRegistrar(t, func(fixture *fixture) {
		time.Sleep(10 * time.Minute)
		require.True(t, fixture.listed())
		require.True(t, fixture.subject.RegistrationValid())

		fixture.mutex.Lock()
		defer fixture.mutex.Unlock()

		require.Equal(t, fixture.member, fixture.members["a"])
	})
}

// The registrar writes its entry again if the platform removed the key without an
// error.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	withRegistrar(t, func(fixture *fixture) {
		fixture.catalog.Remove(registrar.MembersPrefix + "a")
		time.Sleep(2 * time.Second)
		require.True(t, fixture.listed())
	})
}

func TestPlannedStopRemovesEntry(t *testing.T) {
	withRegistrar(t, func(fixture *fixture) {
		fixture.stop()
		synctest.Wait()
		require.False(t, fixture.listed())
	})
}

// A member that cannot reach the service must not rely on its registration once its
// lease may have expired. It registers again when the service answers.
func TestRegistrationIsInvalidAfterLeaseEnds(t *testing.T) {
	withRegistrar(t, func(fixture *fixture) {
		// Only this member's calls go unanswered; others reach the service.
		fixture.subject.Client.Catalog.(*emulator.Catalog).Faults.Set(emulator.FaultSwitches{Freeze: true})
		time.Sleep(5 * time.Second)
		require.False(t, fixture.subject.RegistrationValid())
		require.False(t, fixture.listed())

		fixture.subject.Client.Catalog.(*emulator.Catalog).Faults.Set(emulator.FaultSwitches{})
		time.Sleep(10 * time.Second)
		require.True(t, fixture.subject.RegistrationValid())
		require.True(t, fixture.listed())
	})
}

func TestDecodeSkipsUnreadableMembers(t *testing.T) {
	members, err := registrar.DecodeMembers(follower.Copy{"a": {Value: []byte("{")}, "b": {Value: []byte(`{"Incarnation":"2"}`)}})
	require.Error(t, err)
	require.Equal(t, map[string]registrar.Member{"b": {Name: "b", Incarnation: "2"}}, members)
}
