package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/commander"
)

// Documents of the platform's operators could only be checked by putting them in force, where a
// gateway ignores those that it cannot read.
func TestPlatformDocumentsAreChecked(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

		return path
	}

	const end = `,"services":[{"name":"s"}],"limits":{"maxHeaderBytes":16384}}`

	sound := write("sound", `{"version":2,"routes":[{"name":"a","host":"h","prefix":"/a/","service":"s"}]`+end)
	odd := write("odd", `{"version":2,"routes":[{"name":"a","host":"h","prefix":"/a/","service":"s","timeoutMs":5,"targetLatencyMs":9}]`+end)
	broken := write("broken", `{"version":"x","routes":[]}`)

	for name, scenario := range map[string]struct {
		arguments []string
		code      int
		output    string
	}{
		"sound":              {[]string{sound}, commander.ExitOK, "Passed, version 2, 0 warnings\n"},
		"warning":            {[]string{odd}, commander.ExitOK, "Contradictory: route a: Its first-event target (9ms) is above its timeout (5ms)."},
		"error":              {[]string{broken}, commander.ExitUsage, "reading the configuration"},
		"no file to compare": {[]string{sound, "--against", filepath.Join(folder, "none")}, commander.ExitUsage, "reading the document"},
		"differences":        {[]string{odd, "--against", sound}, commander.ExitOK, "1 differences from version 2\nThe version is not above the one in force; gateways that have that one ignore this document.\nChanged route a\n  - LatencyTarget=0s Timeout=0s\n  + LatencyTarget=9ms Timeout=5ms\n"},
		"JSON":               {[]string{odd, "--against", sound, "--output", "json"}, commander.ExitOK, `"Differences":[{"Change":"Changed","Entry":"route a"`},
	} {
		t.Run(name, func(t *testing.T) {
			out := &bytes.Buffer{}
			code := commander.NewCommander(out, out).Run(t.Context(), append([]string{"config", "check"}, scenario.arguments...))
			require.Equal(t, scenario.code, code, out)
			require.Contains(t, out.String(), scenario.output)
		})
	}
}
