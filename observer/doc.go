// Package observer shows operators what the fleet did: it merges the events of
// all processes into one time line and shows the state that an entry routes by.
package observer
