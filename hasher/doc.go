// Package hasher hashes names for rendezvous choices: processes that do not talk
// to each other come to the same choice.
package hasher
