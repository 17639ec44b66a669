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

// story is one member before a catalog.
type story struct {
	t       *testing.T
	catalog *emulator.Catalog
	made    *registrar.Registrar
	stop    context.CancelFunc
	member  registrar.Member

	mutex   sync.Mutex
	members map[string]registrar.Member
}

func tell(t *testing.T, play func(story *story)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		story := &story{t: t, catalog: emulator.NewCatalog(), member: registrar.Member{Name: "a", Incarnation: "1", Address: "address"}}
		client := keeper.NewCatalogClient(kernel.Discard("a"), story.catalog.View(), keeper.DefaultSettings())
		story.made = registrar.NewRegistrar(kernel.Discard("a"), client, story.member)

		ctx, cancel := context.WithCancel(context.Background())
		story.stop = cancel
		watching, end := context.WithCancel(context.Background())
		running := sync.WaitGroup{}
		running.Go(func() { story.made.Run(ctx) })
		running.Go(func() {
			follower.NewFollower(kernel.Discard("a"), client, registrar.Prefix, func(copied follower.Copy) {
				members, err := registrar.Decode(copied)
				require.NoError(t, err)
				story.made.Notice(members)

				story.mutex.Lock()
				defer story.mutex.Unlock()

				story.members = members
			}).Run(watching)
		})

		time.Sleep(time.Second)
		play(story)
		cancel()
		end()
		running.Wait()
		time.Sleep(time.Hour)
	})
}

func (story *story) listed() bool {
	item, err := story.catalog.Get(context.Background(), registrar.Prefix+"a")
	require.NoError(story.t, err)

	return item.Revision > 0
}

func TestMemberStaysListed(t *testing.T) {
	tell(t, func(story *story) {
		time.Sleep(10 * time.Minute)
		require.True(t, story.listed())
		require.True(t, story.made.Certain())

		story.mutex.Lock()
		defer story.mutex.Unlock()

		require.Equal(t, story.member, story.members["a"])
	})
}

// A key that was taken away without a word is written anew.
func TestRemovedEntryIsWrittenAnew(t *testing.T) {
	tell(t, func(story *story) {
		story.catalog.Remove(registrar.Prefix + "a")
		time.Sleep(2 * time.Second)
		require.True(t, story.listed())
	})
}

func TestMemberLeavesAtAPlannedStop(t *testing.T) {
	tell(t, func(story *story) {
		story.stop()
		synctest.Wait()
		require.False(t, story.listed())
	})
}

// A member without the service is not certain to be listed once its lease may
// have run out.
func TestCertaintyEndsWithTheLease(t *testing.T) {
	tell(t, func(story *story) {
		// The member's own way is lost, others see the service.
		story.made.Client.Catalog.(*emulator.Catalog).Faults.Set(emulator.Switches{Freeze: true})
		time.Sleep(5 * time.Second)
		require.False(t, story.made.Certain())
		require.False(t, story.listed())

		story.made.Client.Catalog.(*emulator.Catalog).Faults.Set(emulator.Switches{})
		time.Sleep(10 * time.Second)
		require.True(t, story.made.Certain())
		require.True(t, story.listed())
	})
}

func TestUnreadableMembersAreLeftOut(t *testing.T) {
	members, err := registrar.Decode(follower.Copy{"a": {Value: []byte("{")}, "b": {Value: []byte(`{"Incarnation":"2"}`)}})
	require.Error(t, err)
	require.Equal(t, map[string]registrar.Member{"b": {Name: "b", Incarnation: "2"}}, members)
}
