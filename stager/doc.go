// Package stager stands up a deployment of separate processes before stand-ins
// of the platform, with links between them that tests can disturb.
package stager
