package deployer_test

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
)

// Test processes that run at the same time took each other's ports: of a process that was about to
// start, which then ended, or of a backend server that was away, in whose place another one answered.
func TestTestProcessesTakeEachOthersPorts(t *testing.T) {
	link, err := deployer.NewLink(t.Context(), "127.0.0.1:1")
	require.NoError(t, err)

	host, _, err := net.SplitHostPort(link.Address)
	require.NoError(t, err)
	require.Equal(t, deployer.LoopbackHost(), host)
	require.True(t, strings.HasPrefix(host, "127.") && host != "127.0.0.1", "other processes listen there")
}
