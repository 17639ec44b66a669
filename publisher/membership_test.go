package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestChoiceEndsWithFewAddresses(t *testing.T) {
	for name, scenario := range map[string]struct {
		peers []string
		least int
		most  int
	}{
		"no peers":                 {},
		"one address listed often": {peers: []string{"a", "a", "a", "a", "a", "a", "a"}, least: 1, most: 1},
		"two addresses":            {peers: []string{"a", "a", "b", "b", "a"}, least: 1, most: 2},
		"more than are asked for":  {peers: []string{"a", "b", "c", "d", "e", "f", "g", "h"}, least: 5, most: 5},
	} {
		t.Run(name, func(t *testing.T) {
			members := &membership{peers: scenario.peers}
			chosen := members.choose(5)
			require.GreaterOrEqual(t, len(chosen), scenario.least)
			require.LessOrEqual(t, len(chosen), scenario.most)
		})
	}
}
