// Package conveyer hands the jobs of a stopping process over to another one, with their
// results and partial output, so that they continue at once, also while the key-value
// service is unavailable.
package conveyer
