// Package historian reads the log lines of several processes and tells what
// happened to a request, a job or a backend server, in one order, together with
// what the processes came to believe around it.
package historian
