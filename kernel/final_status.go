package kernel

import "net/http"

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// IsFinalStatus reports whether an HTTP status may be that of an answer (200 to 599). Statuses 100 and
// 102 to 199 announce another answer; anything else proves nothing about the request.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
