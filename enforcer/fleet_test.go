//go:build !race

package enforcer_test

// largeFleet is the number of gateways of the simulations of a large fleet.
const largeFleet = 300
