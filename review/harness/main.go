// Harness plays one case of the review: it starts nodes as separate processes,
// with stand-ins for the store, the operator, the backends and the requesters,
// and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*run) int{
		"forgotten-departure": forgottenDeparture,
		"abandoned-calls":     abandonedCalls,
		"slow-uploads":        slowUploads,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	r := newRun(os.Args[2])
	r.end(cases[os.Args[1]](r))
}
