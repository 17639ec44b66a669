// Package gauger learns how much load each backend server handles well from the times that
// entries measure at its responses. It does no input or output and reads no clock.
package gauger
