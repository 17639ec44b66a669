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
)

// errRefused is the cause of a command that an entry refused.
const errRefused = errors.ConstError("refused")
