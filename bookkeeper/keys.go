package bookkeeper

import (
	"net/url"
	"strings"
)

// Prefixes of the keys that store jobs.
const (
	// PrefixHeads has one key for each job. All gateways watch it.
	PrefixHeads   = "limpetrail/jobs/heads/"
	prefixItems   = "limpetrail/jobs/items/"
	prefixResults = "limpetrail/jobs/results/"
)

// HeadKey returns the key of a job's head.
func HeadKey(id string) string {
	return PrefixHeads + url.QueryEscape(id)
}

// ItemsPrefix returns the prefix of the keys of a job's items.
func ItemsPrefix(id string) string {
	return prefixItems + url.QueryEscape(id) + "/"
}

// ResultsPrefix returns the prefix of the keys of a job's results.
func ResultsPrefix(id string) string {
	return prefixResults + url.QueryEscape(id) + "/"
}

// IDFromHeadKey returns the ID of the job whose head has this key.
func IDFromHeadKey(key string) string {
	id, err := url.QueryUnescape(strings.TrimPrefix(key, PrefixHeads))
	if err != nil {
		// Only this package writes such keys. A key that cannot be unescaped is
		// taken for an ID that was not escaped.
		return strings.TrimPrefix(key, PrefixHeads)
	}

	return id
}
