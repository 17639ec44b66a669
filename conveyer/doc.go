// Package conveyer hands the jobs of a process that stops to another one, with what
// was made of them, so that work goes on at once and while the key-value service is
// away.
package conveyer
