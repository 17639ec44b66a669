package bookkeeper

import (
	"net/url"
	"strings"
)

// Prefixes of the keys of jobs.
const (
	// PrefixHeads has one key for each job; all gateways follow it.
	PrefixHeads   = "limpetrail/jobs/heads/"
	prefixItems   = "limpetrail/jobs/items/"
	prefixResults = "limpetrail/jobs/results/"
)

// HeadKey is where a job's head lies.
func HeadKey(id string) string {
	return PrefixHeads + url.QueryEscape(id)
}

// ItemsPrefix is where a job's items lie.
func ItemsPrefix(id string) string {
	return prefixItems + url.QueryEscape(id) + "/"
}

// ResultsPrefix is where a job's results lie.
func ResultsPrefix(id string) string {
	return prefixResults + url.QueryEscape(id) + "/"
}

// IDOf returns the job of a head's key.
func IDOf(key string) string {
	id, err := url.QueryUnescape(strings.TrimPrefix(key, PrefixHeads))
	if err != nil {
		// Only this package writes such keys; another spelling is its own ID.
		return strings.TrimPrefix(key, PrefixHeads)
	}

	return id
}
