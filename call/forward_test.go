package call

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
)

// What the ingress tells the owner of a call survives the header, whatever the
// workspace's name contains. A call without a workspace is told as by earlier
// builds.
func TestForwardedCallRoundTrip(t *testing.T) {
	f := forwardedCall{
		id: "c1", attempt: 2, owner: "n@1", route: "r", class: config.ClassCommand, caller: "10.0.0.1", sourceService: "s",
		idempotent: true, rank: 3, usefulFor: 1500 * time.Millisecond,
	}
	for _, w := range []workspaceRef{
		{},
		{name: "acme", rank: 1, key: config.HashKey("k"), revision: 1_000_000_000_007},
		{name: "a b/ü%+-", rank: 1<<32 - 1, revision: 1<<64 - 1},
		{name: "-"},
	} {
		f.workspace = w
		got, err := parseForwardedCall(f.String())
		assert.NilError(t, err)
		assert.Equal(t, got, f)
	}
	f.workspace = workspaceRef{}
	assert.Equal(t, f.String(), "c1 2 n@1 r 2 10.0.0.1 s 1 3 1500")
}

func TestMalformedForwardedCallIsRefused(t *testing.T) {
	const withoutWorkspace = "c1 2 n@1 r 2 10.0.0.1 s 1 3 1500"
	hash := strings.Repeat("A", 43)
	for _, text := range []string{
		"", "c1", withoutWorkspace + " acme", withoutWorkspace + " acme 0 - 1 9",
		withoutWorkspace + " acme -1 - 1", withoutWorkspace + " acme 0 - x", withoutWorkspace + " a%zz 0 - 1",
		withoutWorkspace + " acme 0 " + hash[1:] + " 1", withoutWorkspace + " acme 0 " + hash + "A 1", withoutWorkspace + " acme 4294967296 - 1",
	} {
		_, err := parseForwardedCall(text)
		assert.Assert(t, err != nil, text)
	}
	_, err := parseForwardedCall(withoutWorkspace + " acme 0 " + hash + " 1")
	assert.NilError(t, err)
}
