package config

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const _validDocument = `
services:
  - name: desk
    weights: [{version: v1, share: 99.5}, {version: v2, share: 0.5}]
versions:
  - {service: desk, name: v1}
  - {service: desk, name: v2}
routes:
  - {name: slips, service: desk, host: desk.example, pathPrefix: /slips, class: lookup, timeout: 2s}
policies:
  - {service: desk, stages: [1, 100], minDwell: 5s, minStageCalls: 0, convergenceAllowance: 1s}
workspaces:
  - {name: acme, keys: [first-key, second-key], rank: 1, ratePerSecond: 20, burst: 30}
  - {name: zeta, keyHashes: [c3459480502070372835c7c5cc038c81d457d1fe08de10d76fb5bbb4b7d6af8c]}
`

// A formatted configuration parses to the same configuration.
func TestParseAndFormat(t *testing.T) {
	c, err := ParseYAML([]byte(_validDocument), Config{})
	assert.NilError(t, err)
	assert.Equal(t, c.Services[0].ShareOf("v2"), Share(50))
	assert.Equal(t, c.Policy("desk").MinStageCalls, uint64(0))
	assert.DeepEqual(t, c.Workspaces[0], Workspace{
		Name: "acme", KeyHashes: []KeyHash{HashKey("first-key"), HashKey("second-key")}, Rank: 1, Rate: 20, Burst: 30,
	})
	assert.DeepEqual(t, c.Workspaces[1], Workspace{Name: "zeta", KeyHashes: []KeyHash{HashKey("third-key")}})
	assert.Assert(t, !c.Routes[0].Public)
	c.Routes[0].Public = true
	document, err := FormatYAML(c)
	assert.NilError(t, err)
	again, err := ParseYAML(document, c)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, c)
	assert.Assert(t, !strings.Contains(string(document), "first-key"), "%s", document)
}

// Each message gives the field at fault and how to correct it.
func TestFaults(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{"share: 0.5", "share: 1", "services[desk].weights: shares add up to 100.5%; they must add up to 100%"},
		{"share: 0.5", "share: -1", "services[desk].weights: -1 is not a share"},
		{"version: v2", "version: v9", `services[desk].weights: version "v9" does not exist in the service; add it to versions`},
		{"service: desk, name: v2", "service: disk, name: v2", `versions[disk/v2].service: service "disk" does not exist`},
		{"service: desk, host", "service: disk, host", `routes[slips].service: service "disk" does not exist`},
		{"pathPrefix: /slips", "pathPrefix: slips", `routes[slips].pathPrefix: "slips" does not begin with '/'`},
		{"class: lookup", "class: quick", "routes[slips].class: is unknown; use lookup or command"},
		{"timeout: 2s", "timeout: 2", `routes[slips].timeout: "2" is not a duration; write it as 2s or 500ms`},
		{"timeout: 2s", "timeout: 3h", "routes[slips].timeout: 3h0m0s is out of range"},
		{"host: desk.example", "host: Desk:80", `routes[slips].host: "Desk:80" is not a plain host name`},
		{"stages: [1, 100]", "stages: [5, 1, 100]", "policies[desk].stages: do not increase"},
		{"stages: [1, 100]", "stages: [1, 50]", "policies[desk].stages: end at 50%; the last stage must be 100"},
		{"minDwell: 5s", "minDwell: 0s", "policies[desk].minDwell: 0s is too short"},
		{"name: v2}", "name: v1}", "versions[desk/v1]: is defined twice; remove one"},
		{"name: slips", "name: a/b", `routes[a/b].name: "a/b" contains a character that is not allowed in names`},
		{"routes:", "roads:", "line 8, column 1 is malformed or has an unknown field; not shown"},
		{"name: acme", "name: ''", "workspaces[].name: is empty"},
		{"name: acme", `name: "a\tb"`, `workspaces[a	b].name: "a\tb" begins or ends with a space or contains a control character`},
		{"name: acme", "name: zeta", "workspaces[zeta]: is defined twice"},
		{"first-key", "''", "workspaces[acme].keys: contains an empty key"},
		{"first-key", "third-key", `workspaces[zeta].keys: contains a key of workspace "acme"`},
		{"c3459480", "c345948", "workspaces[zeta].keyHashes[0]: is not a SHA-256 hash in hexadecimal"},
		{"ratePerSecond: 20", "ratePerSecond: -1", "workspaces[acme].ratePerSecond: -1 is not a rate"},
		{"ratePerSecond: 20", "ratePerSecond: .nan", "workspaces[acme].ratePerSecond: NaN is not a rate"},
		{"burst: 30", "burst: .inf", "workspaces[acme].burst: +Inf is not a burst"},
		{"burst: 30", "burst: 0.5", "workspaces[acme].burst: 0.5 would let no call in"},
		{", burst: 30", "", "workspaces[acme].burst: 0 would let no call in"},
		{"services:", "services: [", "document is not a valid configuration"},
	} {
		document := strings.Replace(_validDocument, test.old, test.new, 1)
		_, err := ParseYAML([]byte(document), Config{})
		assert.ErrorContains(t, err, test.want)
	}
	withoutWorkspaces, _, _ := strings.Cut(_validDocument, "workspaces:")
	_, err := ParseYAML([]byte(strings.Replace(withoutWorkspaces, "routes:", "roads:", 1)), Config{})
	assert.ErrorContains(t, err, `unknown field "roads"`)
	_, err = ParseYAML(make([]byte, MaxDocumentBytes+1), Config{})
	assert.ErrorContains(t, err, "document: has 1048577 bytes")
}

// No error quotes a key where the name of the list that holds it is misspelt, so
// that the document has no list of workspaces.
func TestFaultsOfMisspeltListQuoteNoKey(t *testing.T) {
	for _, name := range []string{"workspace:", "Workspaces:", "worksapces:", "tenants:", "  workspaces :", "\"work\\x73paces\":"} {
		_, err := ParseYAML([]byte(strings.Replace(_validDocument, "workspaces:", name, 1)), Config{})
		if err != nil {
			assert.Check(t, !strings.Contains(err.Error(), "-key"), "%s: %s", name, err)
		}
	}
}

// No error quotes a key, wherever in the document the fault is.
func TestFaultsQuoteNoKey(t *testing.T) {
	for _, test := range []struct{ old, new string }{
		{"keys: [first-key", "keys: [first-key: x"},
		{"keys: [first-key, second-key]", "keys: {first-key: second-key}"},
		{"keys: [first-key, second-key]", "first-key: second-key"},
		{"keys: [first-key, second-key]", "keys: [\"first-key, second-key]"},
		{"keys: [first-key, second-key]", "keyHashes: [first-key, second-key]"},
		{"keys: [first-key, second-key]", "keys: [first-key, [second-key]]"},
		{"keys: [first-key, second-key]", "keys: [first-key, first-key, third-key]"},
		{"rank: 1", "rank: first-key"},
		{"rank: 1", "ranks: 1"},
		{"burst: 30", "burst: first-key"},
		{"- {name: zeta", "- {name: zeta, key: [first-key]"},
	} {
		_, err := ParseYAML([]byte(strings.Replace(_validDocument, test.old, test.new, 1)), Config{})
		assert.Assert(t, err != nil, test.new)
		for _, key := range []string{"first-key", "second-key", "third-key"} {
			assert.Assert(t, !strings.Contains(err.Error(), key), "%s: %s", test.new, err)
		}
	}
}

// The bounds that no document reaches hold for other sources of configurations.
func TestCheckWorkspaces(t *testing.T) {
	var many Config
	for i := range MaxWorkspaces + 1 {
		many.Workspaces = append(many.Workspaces, Workspace{Name: WorkspaceName(strconv.Itoa(i))})
	}
	assert.ErrorContains(t, Check(many), "workspaces: has 10001 entries; the maximum is 10000")
	many.Workspaces = many.Workspaces[1:]
	assert.Equal(t, len(Check(many)), 0)
	assert.ErrorContains(t, Check(Config{Workspaces: []Workspace{{Name: "a", KeyHashes: []KeyHash{HashKey("")}}}}), "contains an empty key")
}

// A document cannot change the shares of a service; only a rollout does.
func TestDocumentDoesNotChangeShares(t *testing.T) {
	current, err := ParseYAML([]byte(_validDocument), Config{})
	assert.NilError(t, err)
	current.Services[0].Rollout = RolloutRef{ID: "x", Baseline: "v1", Candidate: "v2"}
	withoutWeights := strings.Replace(_validDocument, "    weights: [{version: v1, share: 99.5}, {version: v2, share: 0.5}]\n", "", 1)
	c, err := ParseYAML([]byte(withoutWeights), current)
	assert.NilError(t, err)
	assert.DeepEqual(t, c.Services, current.Services)
	_, err = ParseYAML([]byte(strings.NewReplacer("99.5", "90", "0.5", "10").Replace(_validDocument)), current)
	assert.ErrorContains(t, err, "differ from the current shares; omit weights and shift traffic with 'lentilferry plan'")
	// A version that an active rollout uses cannot be removed.
	withoutCandidate := strings.Replace(withoutWeights, "  - {service: desk, name: v2}\n", "", 1)
	_, err = ParseYAML([]byte(withoutCandidate), current)
	assert.ErrorContains(t, err, `rollout x needs version "v2"`)
}

// The weights are sorted, above zero, and add up to the full share.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := Share(rapid.IntRange(0, int(FullShare)).Draw(t, "share"))
		s := Service{Name: "s", Weights: Split("b", rapid.SampledFrom([]VersionName{"a", "c"}).Draw(t, "candidate"), share)}
		var sum Share
		for i, w := range s.Weights {
			sum += w.Share
			assert.Assert(t, w.Share > 0)
			assert.Assert(t, i == 0 || s.Weights[i-1].Version < w.Version)
		}
		assert.Equal(t, sum, FullShare)
		assert.Equal(t, s.ShareOf("b"), FullShare-share)
	})
}

// Any document is either rejected or gives a configuration without faults.
func FuzzParseYAML(f *testing.F) {
	f.Add(_validDocument)
	f.Add("services: {}")
	f.Fuzz(func(t *testing.T, document string) {
		c, err := ParseYAML([]byte(document), Config{})
		if err == nil {
			assert.Equal(t, len(Check(c)), 0)
			for _, r := range c.Routes {
				assert.Assert(t, r.Timeout > 0 && r.Timeout <= 2*time.Minute)
			}
		}
	})
}
