// Package locator reads the platform's list of instances, which lags: it is
// the second source about a leaving backend server, never the only one.
package locator
