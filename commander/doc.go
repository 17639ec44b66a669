// Package commander is the command line: it parses arguments and starts what
// they ask for.
package commander
