// Package quarantiner finds the parts of prompts that end the processes of backend
// servers, from servers that end before they begin to answer. It keeps requests that hold
// such a part away from the servers.
package quarantiner
