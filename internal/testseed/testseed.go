// Package testseed makes property tests generate the same cases in each run.
package testseed

import (
	"flag"
	"os"
	"testing"

	// Imported because it defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// _seed is the default seed of all property tests.
const _seed = "20261204"

// Main runs a package's tests with a fixed seed, unless -rapid.seed sets
// another one, and without failure files. It exits the process.
func Main(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven && flag.Set("rapid.seed", _seed) != nil {
		os.Exit(2)
	}
	if flag.Set("rapid.nofailfile", "true") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
