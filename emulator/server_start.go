package emulator

import (
	"fmt"
	"net/http"
)

// reportPath is where an EventServer tells its start, in the platform's protocol.
const reportPath = "/limpetrail/report"

// SetStart sets the software version and the start of the server's process, as when the server has
// been replaced under its ID.
func (server *EventServer) SetStart(software string, born int64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	server.software, server.born = software, born
}

// Software returns the software version of the server's process.
func (server *EventServer) Software() string {
	software, _ := server.start()

	return software
}

// start returns the software version and the start of the server's process.
func (server *EventServer) start() (software string, born int64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.software, server.born
}

func (server *EventServer) writeReport(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")

	if _, born := server.start(); born != 0 {
		fmt.Fprintf(writer, `{"stage":"any","born":%d}`, born)

		return
	}

	fmt.Fprint(writer, `{"stage":"any"}`)
}
