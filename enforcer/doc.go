// Package enforcer decides which requests are within the caps of their workspaces, summed over
// all gateways. Its decisions use neither a clock nor a network. See docs/design/caps.md.
package enforcer
