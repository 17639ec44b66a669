// Package planner turns the operators' document into orders to engines. One
// entry plans at a time, under a lease whose fencing number rides on each
// order; orders are paced by what the platform's weight store allows.
package planner
