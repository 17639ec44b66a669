// Package stopper keeps the time of a planned stop. It tells which requests may still be taken, and
// ends those that run too long early enough to be answered.
package stopper
