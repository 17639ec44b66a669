package placer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/placer"
)

// The only server that can get work is silent for a while. All calls were refused.
func TestSilenceLeavesAServiceWithoutServers(t *testing.T) {
	for name, leaving := range map[string]bool{"a single server": false, "the other one leaves": true} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.setServers("x")

				if leaving {
					other := fixture.list[0]
					other.ID, other.Leaving = "y", true
					fixture.placer.UpdateServers(append(fixture.list, other))
				}

				grant, _ := fixture.place()
				for range 3 {
					grant.Observe(placer.Silent, 0)
				}

				_, server := fixture.place()
				require.Equal(t, "x", server)
			})
		})
	}
}
