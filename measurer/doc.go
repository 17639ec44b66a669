// Package measurer measures design decisions on admission. It runs an admitter and
// the engine stand-in under a load from a fixed seed, and returns latencies and
// rates. In a testing/synctest bubble, time is simulated and every run gives the
// same figures.
package measurer
