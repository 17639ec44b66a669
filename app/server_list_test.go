package app

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/follower"
	"limpetrail/keeper"
)

// listState is one state of the list. For each ID it holds the revision and the number of
// places; 0 places stands for an item that cannot be decoded.
type listState map[string][2]int

// Items are decoded once per revision. The result must still match the current list:
// changed, removed, unreadable and re-added items must not come from an older one.
func TestServerListDecodesOnlyChangedItems(t *testing.T) {
	list := newServerList()

	for number, scenario := range []struct {
		step       listState
		places     []int
		unreadable []string
	}{
		{listState{"a": {1, 8}, "b": {2, 4}}, []int{4, 8}, nil},
		{listState{"a": {1, 8}, "b": {2, 4}}, []int{4, 8}, nil},
		{listState{"a": {3, 6}, "b": {2, 4}}, []int{4, 6}, nil},
		{listState{"a": {3, 6}, "b": {4, 0}}, []int{6}, []string{"b"}},
		{listState{"a": {3, 6}, "b": {4, 0}}, []int{6}, []string{"b"}},
		{listState{"b": {5, 7}}, []int{7}, nil},
		{listState{}, []int{}, nil},
		{listState{"a": {6, 5}, "b": {5, 7}}, []int{5, 7}, nil},
	} {
		current, unreadable := follower.Copy{}, []string(nil)

		for id, item := range scenario.step {
			current[id] = keeper.Item{Key: id, Revision: keeper.Revision(item[0]), Value: fmt.Appendf(nil,
				`{"service":"s","address":"x:1","zone":"z","slots":%d,"state":"ready"}`, item[1])}
		}

		places := []int{}
		for _, server := range list.update(current, func(item keeper.Item, _ error) { unreadable = append(unreadable, item.Key) }) {
			places = append(places, server.Places)
		}

		slices.Sort(places)
		require.Equal(t, scenario.places, places, "step %d", number)
		require.Equal(t, scenario.unreadable, unreadable, "step %d", number)
	}
}
