package commander

import "github.com/juju/errors"

// Exit codes of the command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments, the settings or the document are invalid.
	ExitUsage = 2
	// ExitRefused means that an entry refused the request.
	ExitRefused = 3
	// ExitConflict means that another operator changed the same field, or that the edit's
	// revision cannot be merged. The operator must read the document and edit it again.
	ExitConflict = 4
	// ExitUnknown means that the edit may have been written; the history shows it if so.
	ExitUnknown = 5
)

// errRefused is the type of the error for a request that an entry refused.
const errRefused = errors.ConstError("refused")

// Types of the errors for edits that were not accepted.
const (
	errConflict       = errors.ConstError("conflict")
	errOutcomeUnknown = errors.ConstError("unknown")
)
