// Package router chooses the replica for an attempt. It learns from the load
// reports that ride on answers and polls nobody.
package router
