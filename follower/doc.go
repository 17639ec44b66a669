// Package follower keeps copies of what lies below a prefix of the key-value
// service, and goes on with the last copy while the service is away.
package follower
