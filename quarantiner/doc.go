// Package quarantiner finds the requests, and the parts of prompts, that end the processes of
// backend servers, from servers that end before they begin to answer. It keeps such requests, and
// those that hold such a part, away from the servers.
package quarantiner
