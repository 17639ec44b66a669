// Package historian reads the logs of several processes and finds the lines
// about a request, a job or a backend server, in order of time, together with
// the changes of state that the processes logged around them.
package historian
