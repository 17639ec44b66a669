package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts by name. Each gets whether the disruption is played.
var cases = map[string]func(ctx context.Context, record *record, trouble bool) int{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE RECORD")

		return cannotRun
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	ctx, cancel := context.WithTimeout(ctx, 115*time.Second)
	defer cancel()

	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return cannotRun
	}

	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, disruption: %t", os.Args[1], trouble)

	result := cases[os.Args[1]](ctx, record, trouble)
	if ctx.Err() != nil {
		result = cannotRun
	}

	record.log("exit code %d", result)

	return result
}
