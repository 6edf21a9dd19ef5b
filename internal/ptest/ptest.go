// Package ptest helps tests: it makes property tests the same in every run, and opens sockets.
package ptest

import (
	"flag"
	"os"
	"testing"

	// The import registers the flag that Main sets.
	_ "pgregory.net/rapid"
)

// seed is the seed of all property tests, unless the command line gives another one.
const seed = "20261204"

// Main runs a package's tests with a fixed seed. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
