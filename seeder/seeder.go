// Package seeder makes the draws of property tests the same in each run. Test
// files import it for its effect.
package seeder

import (
	"flag"
	"os"

	// Its flags have to exist before their defaults are changed.
	_ "pgregory.net/rapid"
)

const (
	// FreshSeeds is the environment variable that asks for new draws.
	FreshSeeds = "LIMPETRAIL_FRESH_SEEDS"
	// fixedSeed is any number but 0, which asks for a new seed.
	fixedSeed = "20261204"
)

func init() {
	if os.Getenv(FreshSeeds) != "" {
		return
	}

	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic("seeder: " + err.Error())
	}
}
