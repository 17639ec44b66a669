package authenticator_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"limpetrail/authenticator"
	"limpetrail/kernel"
	"limpetrail/matcher"
)

// newDocument returns a document with the workspaces; without any if the list is nil.
func newDocument(workspaces []matcher.Workspace) *matcher.Document {
	document := matcher.NewDocument(1, nil, nil, matcher.Limits{})
	if workspaces != nil {
		document.SetWorkspaces(workspaces)
	}

	return document
}

// A request must not be served for a workspace whose key it does not have, nor refused where no key
// is required.
func TestDecide(t *testing.T) {
	longest := strings.Repeat("k", matcher.MaxKeyBytes)
	document := newDocument([]matcher.Workspace{{Name: "a", Keys: []string{"a1", "a2", "a1", longest}}, {Name: "b", Keys: []string{"b1"}}, {Name: "none"}})

	for name, scenario := range map[string]struct {
		keys      []string
		workspace string
		refusal   authenticator.Refusal
	}{
		"first key":           {[]string{"a1"}, "a", ""},
		"second key":          {[]string{"a2"}, "a", ""},
		"another workspace":   {[]string{"b1"}, "b", ""},
		"longest key":         {[]string{longest}, "a", ""},
		"no key":              {nil, "", authenticator.Missing},
		"empty key":           {[]string{""}, "", authenticator.Missing},
		"unknown key":         {[]string{"a"}, "", authenticator.Unknown},
		"other case":          {[]string{"A1"}, "", authenticator.Unknown},
		"more than a key":     {[]string{"a1,b1"}, "", authenticator.Unknown},
		"too long":            {[]string{longest + "k"}, "", authenticator.TooLong},
		"two keys":            {[]string{"a1", "b1"}, "", authenticator.Repeated},
		"the same key twice":  {[]string{"a1", "a1"}, "", authenticator.Repeated},
		"key and empty value": {[]string{"a1", ""}, "", authenticator.Repeated},
	} {
		t.Run(name, func(t *testing.T) {
			for _, exempt := range []bool{false, true} {
				verdict := authenticator.Decide(document, scenario.keys, exempt)
				require.Equal(t, scenario.refusal != "" && !exempt, verdict.Refusal != "")
				require.Equal(t, scenario.workspace != "", verdict.Workspace != nil)

				if verdict.Workspace != nil {
					require.Equal(t, scenario.workspace, verdict.Workspace.Name)
				}
			}

			require.Equal(t, scenario.refusal, authenticator.Decide(document, scenario.keys, false).Refusal)
			require.Zero(t, authenticator.Decide(newDocument(nil), scenario.keys, false))
			require.NotEmpty(t, authenticator.Decide(newDocument([]matcher.Workspace{}), scenario.keys, false).Refusal)
		})
	}
}

// A key in a log could be used by everyone who reads the log.
func TestRefusalIsLoggedWithoutTheKey(t *testing.T) {
	const key = "ftimaj3nr26tta828m82"

	output, metrics := &bytes.Buffer{}, tally.NewTestScope("", nil)
	logger := logrus.New()
	logger.SetOutput(output)

	checker := authenticator.NewAuthenticator(kernel.NewCommon("gateway", "", logger, metrics))
	checker.RecordRefusal(newDocument(nil), []string{key}, authenticator.Unknown, logrus.Fields{"RequestID": "r-1"})

	require.NotContains(t, output.String(), key)
	require.Contains(t, output.String(), matcher.ShortKeyHash(key))
	require.Contains(t, output.String(), "r-1")
	require.Contains(t, output.String(), string(authenticator.Unknown))
	require.Equal(t, int64(1), metrics.Snapshot().Counters()["authenticator.unknown_keys+"].Value())
}
