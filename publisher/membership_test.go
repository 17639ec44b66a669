package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRandomPeersWithDuplicateAddresses(t *testing.T) {
	for name, scenario := range map[string]struct {
		peers   []string
		minimum int
		maximum int
	}{
		"no peers":                      {},
		"one address listed many times": {peers: []string{"a", "a", "a", "a", "a", "a", "a"}, minimum: 1, maximum: 1},
		"two addresses":                 {peers: []string{"a", "a", "b", "b", "a"}, minimum: 1, maximum: 2},
		"more peers than wanted":        {peers: []string{"a", "b", "c", "d", "e", "f", "g", "h"}, minimum: 5, maximum: 5},
	} {
		t.Run(name, func(t *testing.T) {
			members := &membership{peers: scenario.peers}
			chosen := members.randomPeers(5)
			require.GreaterOrEqual(t, len(chosen), scenario.minimum)
			require.LessOrEqual(t, len(chosen), scenario.maximum)
		})
	}
}
