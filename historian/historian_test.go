package historian_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"limpetrail/historian"
	"limpetrail/kernel"
)

func TestParseLineWithCollectorPrefix(t *testing.T) {
	const line = `2026-08-05T20:14:31.304Z info  forwarder: Request ended. BackendServer="i-1" Reason="Cut: \"EOF\" = end" RequestID="r1"`

	for name, scenario := range map[string]struct {
		text, instance string
		recognised     bool
	}{
		"plain":                 {line, "file", true},
		"instance in front":     {"front-1 " + line, "front-1", true},
		"with a separator":      {"front-1 | " + line, "front-1", true},
		"in brackets":           {"[front-1] " + line, "front-1", true},
		"elapsed seconds first": {"12.345 front-1 " + line, "front-1", true},
		"another program":       {"panic: something went wrong in main", "", false},
		"nothing":               {"", "", false},
		"words without a time":  {strings.Repeat("word ", 20), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			parsed, ok := historian.ParseLine("file", scenario.text)
			require.Equal(t, scenario.recognised, ok)

			if !ok {
				return
			}

			require.Equal(t, scenario.instance, parsed.Instance)
			require.Equal(t, map[string]string{"BackendServer": "i-1", "Reason": `Cut: "EOF" = end`, "RequestID": "r1"}, parsed.Fields)
			require.Equal(t, 304, parsed.Time.Nanosecond()/int(time.Millisecond))
			require.Equal(t, line, parsed.Text)
		})
	}
}

// ParseLine recovers the field values that kernel.Formatter has quoted.
func TestParseLineReadsFormatterOutput(t *testing.T) {
	fields := logrus.Fields{"Reason": "a \"b\"\nc=\"d\" e", "RequestID": "r=1", "Waited": time.Second}

	written, err := kernel.Formatter{}.Format(&logrus.Entry{Time: time.Unix(1, 5), Level: logrus.InfoLevel, Message: "Ended.", Data: fields})
	require.NoError(t, err)

	parsed, ok := historian.ParseLine("x", strings.TrimSuffix(string(written), "\n"))
	require.True(t, ok)
	require.Equal(t, map[string]string{"Reason": "a \"b\"\nc=\"d\" e", "RequestID": "r=1", "Waited": "1s"}, parsed.Fields)
}

const (
	firstLog = `2026-01-01T00:00:00Z info  app: Serving.
2026-01-01T00:00:10Z info  forwarder: Trying a request again. BackendServer="i-1" RequestID="r1"
2026-01-01T00:00:11Z info  forwarder: Request ended. BackendServer="i-2" RequestID="r1"
2026-01-01T00:00:11Z info  forwarder: Request ended. BackendServer="i-2" RequestID="r2"
not a log line
2026-01-01T00:00:12Z info  batcher: Item is given up. JobID="j1" RequestID="r3"
`
	secondLog = `2026-01-01T00:00:09.5Z warni placer: Health state of a backend server changed. BackendServer="i-1" Observation="Broken"
2026-01-01T00:00:09.6Z warni placer: Health state of a backend server changed. BackendServer="i-9" Observation="Broken"
2026-01-01T00:00:10.5Z warni keeper: Key-value service changed. State="lost"
2026-01-01T00:00:30Z warni keeper: Key-value service changed. State="back"
`
)

func TestFindSelectsLines(t *testing.T) {
	for name, scenario := range map[string]struct {
		query  historian.Query
		expect []string
	}{
		"request": {historian.Query{RequestID: "r1"}, []string{"Trying", "ended"}},
		"request and changes of state around it": {
			historian.Query{RequestID: "r1", Margin: time.Second},
			[]string{`"i-1" Observation`, "Trying", `"lost"`, "ended"},
		},
		"job":             {historian.Query{JobID: "j1"}, []string{"given up"}},
		"item of a job":   {historian.Query{RequestID: "r3"}, []string{"given up"}},
		"server":          {historian.Query{BackendServer: "i-9"}, []string{`"i-9"`}},
		"unknown request": {historian.Query{RequestID: "r7", Margin: time.Hour}, nil},
		"empty query":     {historian.Query{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			logs := historian.NewHistorian()
			require.NoError(t, logs.Read("front-1", strings.NewReader(firstLog)))
			require.NoError(t, logs.Read("front-2", strings.NewReader(secondLog)))
			require.Equal(t, 1, logs.SkippedLines())

			found := logs.Find(scenario.query)
			require.Len(t, found, len(scenario.expect))

			for index, part := range scenario.expect {
				require.Contains(t, found[index].Text, part)
			}
		})
	}
}

func TestTooLongLineIsAnError(t *testing.T) {
	require.Error(t, historian.NewHistorian().Read("x", strings.NewReader(strings.Repeat("x", 2<<20))))
}
