package commander

// Exit codes of the command.
const (
	// ExitOK means that all was done.
	ExitOK = 0
	// ExitFailed means that it was tried and failed.
	ExitFailed = 1
	// ExitUsage means that the arguments or settings are wrong.
	ExitUsage = 2
)
