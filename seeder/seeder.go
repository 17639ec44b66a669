// Package seeder fixes the random seed of rapid's property tests, so that each run
// uses the same random values. Test files import it for this side effect.
package seeder

import (
	"flag"
	"os"

	// rapid must register its flags before init sets one of them.
	_ "pgregory.net/rapid"
)

const (
	// FreshSeeds is the environment variable that turns the fixed seed off, for
	// new random values in each run.
	FreshSeeds = "LIMPETRAIL_FRESH_SEEDS"
	// fixedSeed can be any number except 0, which makes rapid choose a new seed.
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
