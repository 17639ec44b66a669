// Package locator reads the platform's list of instances. The list lags behind, so
// it must never be the only source of the fact that a backend server is leaving.
package locator
