package quarantiner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/quarantiner"
)

// Attempts at one request have one fingerprint, and no other request has it.
func TestFingerprint(t *testing.T) {
	known := quarantiner.Fingerprint([]byte("body"), "caller", "/path")
	require.Equal(t, known, quarantiner.Fingerprint([]byte("body"), "caller", "/path"))

	for name, other := range map[string]string{
		"another body":           quarantiner.Fingerprint([]byte("bodY"), "caller", "/path"),
		"no body":                quarantiner.Fingerprint(nil, "caller", "/path"),
		"another caller":         quarantiner.Fingerprint([]byte("body"), "caller2", "/path"),
		"another path":           quarantiner.Fingerprint([]byte("body"), "caller", "/path2"),
		"the same text together": quarantiner.Fingerprint([]byte("body"), "caller/", "path"),
		"a path within the body": quarantiner.Fingerprint([]byte("/pathbody"), "caller", ""),
	} {
		require.NotEqual(t, known, other, name)
	}
}
