// Package pacer computes when refused callers should retry. It handles two kinds of load: a
// burst that exceeds all places for seconds, in which early retries are refused again, and a
// thundering herd, after which places are free soon. It doesn't read the clock.
package pacer
