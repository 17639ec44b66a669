// Package measurer measures decisions: it drives an admitter and the engine
// stand-in with seeded load and returns figures. Within a testing/synctest
// bubble the figures are exact, and equal on every run.
package measurer
