package commander

import "github.com/juju/errors"

// Exit codes of the command.
const (
	// ExitOK means that all was done.
	ExitOK = 0
	// ExitFailed means that it was tried and failed.
	ExitFailed = 1
	// ExitUsage means that the arguments or settings are wrong.
	ExitUsage = 2
	// ExitRefused means that an entry answered and refused.
	ExitRefused = 3
	// ExitConflict means that another operator changed the same field, or that
	// the edit is too old to be merged: read the document and edit it again.
	ExitConflict = 4
	// ExitUnknown means that the edit may have been written; see the history.
	ExitUnknown = 5
)

// errRefused is the cause of a command that an entry refused.
const errRefused = errors.ConstError("refused")

// Causes of edits that were not accepted.
const (
	errConflict = errors.ConstError("conflict")
	errUnknown  = errors.ConstError("unknown")
)
