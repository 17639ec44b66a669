// Package commander implements the command line: it parses the arguments and runs the
// chosen command, a process of the system or an operator's command against an entry.
package commander
