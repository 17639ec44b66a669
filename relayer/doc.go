// Package relayer reaches the key-value service through another gateway, when
// the service turns this one away and serves others, and asks other gateways
// for their copies when nobody reaches it.
package relayer
