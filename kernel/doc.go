// Package kernel holds what every part of the system shares: the registry in
// which plug-ins register themselves by name, and the bundle of log, time line
// and metrics that each part embeds.
package kernel
