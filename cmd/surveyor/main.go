// Command surveyor measures how the cost of each part grows with its size, and
// prints the figures that docs/CAPACITY.md is based on.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/juju/errors"

	"limpetrail/surveyor"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "surveyor:", err)
		os.Exit(1)
	}
}

func run() error {
	if err := surveyor.PrintMessageSizes(os.Stdout); err != nil {
		return errors.Trace(err)
	}

	processes, err := surveyor.ProcessSurveys(context.Background())
	if err != nil {
		return errors.Trace(err)
	}

	for _, survey := range slices.Concat(surveyor.FleetSurveys(), surveyor.StreamSurveys(), processes) {
		if err := survey.Run(os.Stdout); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}
