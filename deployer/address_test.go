package deployer_test

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
)

// Test processes that run at the same time took each other's ports: that of a program about to start,
// which then ended, or that of a backend server that was away.
func TestPortsAreTakenByOtherTestProcesses(t *testing.T) {
	link, err := deployer.NewLink(t.Context(), "127.0.0.1:1")
	require.NoError(t, err)

	host, _, err := net.SplitHostPort(link.Address)
	require.NoError(t, err)
	require.Equal(t, deployer.LoopbackHost(), host)
	require.True(t, strings.HasPrefix(host, "127.") && host != "127.0.0.1", "other processes listen there")
}
