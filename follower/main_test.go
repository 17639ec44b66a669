package follower_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the simulations on one thread. On several, the race detector of
// this Go version crashes inside its own bookkeeping (a SIGSEGV in the
// sanitizer's stack depot) in about half of the runs. Races are found on one
// thread as well, since the detector follows the order of synchronisation.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
