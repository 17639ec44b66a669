package app

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/follower"
	"limpetrail/keeper"
)

// step is one state of the list, by ID: the revision and the places of a server,
// or no places for an item that cannot be read.
type step map[string][2]int

// Each state of the list gives the servers that it holds, whatever was read
// before.
func TestServersOfAList(t *testing.T) {
	list := newServerList()

	for number, scenario := range []struct {
		step       step
		places     []int
		complaints []string
	}{
		{step{"a": {1, 8}, "b": {2, 4}}, []int{4, 8}, nil},
		{step{"a": {1, 8}, "b": {2, 4}}, []int{4, 8}, nil},
		{step{"a": {3, 6}, "b": {2, 4}}, []int{4, 6}, nil},
		{step{"a": {3, 6}, "b": {4, 0}}, []int{6}, []string{"b"}},
		{step{"a": {3, 6}, "b": {4, 0}}, []int{6}, []string{"b"}},
		{step{"b": {5, 7}}, []int{7}, nil},
		{step{}, []int{}, nil},
		{step{"a": {6, 5}, "b": {5, 7}}, []int{5, 7}, nil},
	} {
		copied, complaints := follower.Copy{}, []string(nil)

		for id, item := range scenario.step {
			copied[id] = keeper.Item{Key: id, Revision: keeper.Revision(item[0]), Value: fmt.Appendf(nil,
				`{"service":"s","address":"x:1","zone":"z","slots":%d,"state":"ready"}`, item[1])}
		}

		places := []int{}
		for _, server := range list.take(copied, func(item keeper.Item, _ error) { complaints = append(complaints, item.Key) }) {
			places = append(places, server.Places)
		}

		slices.Sort(places)
		require.Equal(t, scenario.places, places, "step %d", number)
		require.Equal(t, scenario.complaints, complaints, "step %d", number)
	}
}
