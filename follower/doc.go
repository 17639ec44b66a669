// Package follower keeps a local copy of the keys below a prefix of the key-value
// service. While the service is unavailable, the last copy remains in use.
package follower
