// Package kernel holds what every part of the system shares: the registry in
// which plug-ins register themselves by name, the log's formatter and writer,
// and the log, event recorder and metrics scope that each part embeds.
package kernel
