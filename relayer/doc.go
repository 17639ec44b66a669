// Package relayer relays calls to the key-value service through another gateway
// when the service refuses this one. It also exchanges copies of stored data, which
// processes start from while no gateway reaches the service.
package relayer
