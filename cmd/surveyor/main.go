// Command surveyor prints the slopes behind docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"slices"

	"limpetrail/surveyor"
)

func main() {
	for _, survey := range slices.Concat(surveyor.Fleet(), surveyor.Streams()) {
		if err := survey.Run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "surveyor:", err)
			os.Exit(1)
		}
	}
}
