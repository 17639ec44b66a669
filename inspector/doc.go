// Package inspector finds mistakes in a configuration document before it is put in force, and
// shows how it differs from another one.
package inspector
