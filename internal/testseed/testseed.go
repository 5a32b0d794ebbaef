// Package testseed makes property tests draw the same cases in each run.
package testseed

import (
	"flag"
	"os"
	"testing"

	// The flags of rapid must be defined before they are set.
	_ "pgregory.net/rapid"
)

// _seed is the seed of all property tests.
const _seed = "20261204"

// Main runs a package's tests with the fixed seed, unless -rapid.seed gives
// another one.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given && flag.Set("rapid.seed", _seed) != nil {
		os.Exit(2)
	}
	if flag.Set("rapid.nofailfile", "true") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
