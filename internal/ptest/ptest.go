// Package ptest provides helpers for tests: a fixed seed for property tests, and UDP sockets.
package ptest

import (
	"flag"
	"os"
	"testing"

	// Registers the flag rapid.seed, which Main sets.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed of property tests unless the flag rapid.seed is set.
const defaultSeed = "20261204"

// Main runs the tests of a package with a fixed seed, so that property tests are reproducible. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
