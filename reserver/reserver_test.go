package reserver_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/reserver"
)

const megabyte = 1 << 20

// newReserver returns one for the smallest gateway, whose budget is 36 MB.
func newReserver() *reserver.Reserver {
	subject := reserver.NewReserver(144 * megabyte)
	subject.SetLargest(4 * megabyte)

	return subject
}

// hold reserves requests of a size until one does not fit, and returns how many did and why not.
func hold(subject *reserver.Reserver, owner reserver.Owner, size int64, limit int) (int, reserver.Verdict) {
	for count := range limit {
		if verdict := subject.Open(owner).Grow(size); verdict != reserver.Granted {
			return count, verdict
		}
	}

	return limit, reserver.Granted
}

// Uploads that never end filled the memory of a small gateway, and nobody else was served.
func TestOneOwnerCannotTakeAll(t *testing.T) {
	for name, scenario := range map[string]struct {
		hog, other reserver.Owner
		verdict    reserver.Verdict
	}{
		"address": {reserver.Owner{Address: "a"}, reserver.Owner{Address: "b"}, reserver.AddressBound},
		"workspace behind a balancer": {
			reserver.Owner{Workspace: "v"}, reserver.Owner{Workspace: "w"}, reserver.WorkspaceBound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			subject := newReserver()

			count, verdict := hold(subject, scenario.hog, megabyte, 300)
			require.Equal(t, 27, count, "three quarters of the budget")
			require.Equal(t, scenario.verdict, verdict)

			require.Equal(t, reserver.Granted, subject.Open(scenario.other).Grow(4*megabyte), "another one's largest request")

			count, _ = hold(subject, scenario.hog, 4<<10, 1000)
			require.Equal(t, 1000, count, "small requests of the same owner")
			require.LessOrEqual(t, subject.Reserved(), subject.Budget)
		})
	}
}

// Ordinary load was refused by bounds that hold for callers behind one address too.
func TestOrdinaryLoadFits(t *testing.T) {
	subject, balancer := newReserver(), reserver.Owner{Address: "balancer"}

	for size, requests := range map[int64]int{8 << 10: 500, 750_000: 10, 4 * megabyte: 3} {
		count, verdict := hold(subject, balancer, size, requests)
		require.Equal(t, requests, count, verdict)
	}
}

// Reservations that are not given back in full would refuse everybody in the end.
func TestReleasedBytesAreFree(t *testing.T) {
	subject := newReserver()

	for number := range 1000 {
		reservation := subject.Open(reserver.Owner{Address: fmt.Sprint(number), Workspace: fmt.Sprint(number)})
		require.Equal(t, reserver.Granted, reservation.Grow(megabyte))
		reservation.Shrink(1000)
		reservation.Shrink(2 * megabyte)
		require.Equal(t, reserver.Granted, reservation.Grow(1))
		reservation.Release()
		reservation.Release()
	}

	require.Zero(t, subject.Reserved())

	count, verdict := hold(subject, reserver.Owner{Address: "a"}, 4<<10, 1<<20)
	require.Equal(t, int(subject.Budget>>12), count)
	require.Equal(t, reserver.NoRoom, verdict)
}
