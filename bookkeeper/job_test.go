package bookkeeper_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
)

func TestValidateJob(t *testing.T) {
	item := bookkeeper.Item{ID: "a", Target: "/x"}

	for name, scenario := range map[string]struct {
		job bookkeeper.Job
		// message is a part of the error. It is empty for a valid job.
		message string
	}{
		"valid":              {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{item, {ID: "b", Target: "/x"}}}, ""},
		"no ID":              {bookkeeper.Job{Items: []bookkeeper.Item{item}}, "ID of the job"},
		"ID too long":        {bookkeeper.Job{ID: strings.Repeat("x", 65), Items: []bookkeeper.Item{item}}, "ID of the job"},
		"no items":           {bookkeeper.Job{ID: "j"}, "items: give at least one"},
		"item without ID":    {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{{Target: "/x"}}}, "an ID of its own"},
		"duplicate ID":       {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{item, item}}, "an ID of its own"},
		"path without slash": {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{{ID: "a", Target: "x"}}}, "begins with a slash"},
		// The rest of the path became a second request to the backend server.
		"path with a line break":   {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{{ID: "a", Target: "/x HTTP/1.1\r\n\r\nGET /y"}}}, "escape spaces and control characters"},
		"path with a space":        {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{{ID: "a", Target: "/x y"}}}, "escape spaces and control characters"},
		"path with escapes":        {bookkeeper.Job{ID: "j", Items: []bookkeeper.Item{{ID: "a", Target: "/x%0D%0A?q=ä"}}}, ""},
		"ID whose key is too long": {bookkeeper.Job{ID: strings.Repeat("/", 60), Items: []bookkeeper.Item{item}}, "in URL encoding"},
	} {
		t.Run(name, func(t *testing.T) {
			err := scenario.job.Validate()
			if scenario.message == "" {
				require.NoError(t, err)

				return
			}

			require.ErrorContains(t, err, scenario.message)
			require.True(t, errors.Is(err, errors.NotValid))
		})
	}
}
