package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// _cleanDocument gives no warnings. Of two prefixes the longer is matched first,
// so that neither hides the other, and a version may wait for its rollout
// without a share.
const _cleanDocument = `
services:
  - {name: desk, weights: [{version: v1, share: 100}]}
  - {name: press, anyVersion: true}
versions:
  - {service: desk, name: v1}
  - {service: desk, name: v2}
routes:
  - {name: all, service: desk, host: desk.example, pathPrefix: /, class: lookup, timeout: 2s, objective: 1s, attempts: 5}
  - {name: slips, service: desk, host: desk.example, pathPrefix: /slips, class: lookup, timeout: 2s}
  - {name: other, service: press, pathPrefix: /slips/, class: command, timeout: 2m, public: true}
policies:
  - {service: desk, stages: [5, 100]}
limits: {headerBytes: 100, bodyBytes: 100, headerTimeout: 5s, idleTimeout: 5s}
workspaces:
  - {name: acme, keys: [first-key], ratePerSecond: 20, burst: 10}
`

// Each mistake is reported once, with its field, as an error if the document
// would be refused and otherwise as a warning.
func TestReviewFindsMistakes(t *testing.T) {
	type lists struct{ errors, warnings []string }
	for name, test := range map[string]struct {
		old, new string
		want     lists
	}{
		"none":                {"", "", lists{}},
		"equal routes":        {"pathPrefix: /slips,", "pathPrefix: /,", lists{errors: []string{`routes[slips]: has the same host and pathPrefix as route "all"`}}},
		"only weight zero":    {"service: press, pathPrefix", "service: press, backends: [{service: press, weight: 0}], pathPrefix", lists{errors: []string{`routes[other].backends: service "press" has weight 0`}, warnings: []string{"services[press]: no route sends calls to it"}}},
		"timeout":             {"timeout: 2m", "timeout: 3m", lists{errors: []string{"routes[other].timeout: 3m0s is out of range"}}},
		"trailing slash":      {"service: press, pathPrefix", "service: press, host: desk.example, pathPrefix", lists{warnings: []string{`routes[slips].pathPrefix: matches only the path /slips itself, as route "other" takes all paths below it`}}},
		"objective":           {"objective: 1s", "objective: 3s", lists{warnings: []string{"routes[all].objective: 3s is above the route's timeout of 2s"}}},
		"attempts":            {"attempts: 5", "attempts: 6", lists{warnings: []string{"routes[all].attempts: 6 is above 5"}}},
		"service not routed":  {"name: other, service: press", "name: other, service: desk", lists{warnings: []string{"services[press]: no route sends calls to it"}}},
		"service by backends": {"name: other, service: press", "name: other, service: desk, backends: [{service: press, weight: 1}]", lists{}},
		"service of backends": {"name: other, service: press", "name: other, service: press, backends: [{service: desk, weight: 1}]", lists{warnings: []string{"services[press]: no route sends calls to it"}}},
		"unused version":      {"name: v2}", "name: v2}\n  - {service: press, name: v1}", lists{warnings: []string{`versions[press/v1]: is not used, as service "press" has anyVersion`}}},
		"unused policy":       {"policies:", "policies:\n  - {service: press}", lists{warnings: []string{`policies[press]: is not used, as service "press" has anyVersion`}}},
		"body limit":          {"bodyBytes: 100", "bodyBytes: 99", lists{warnings: []string{"limits.bodyBytes: 99 is below headerBytes, 100"}}},
		"body limit only":     {"headerBytes: 100, bodyBytes: 100", "bodyBytes: 1", lists{}},
		"idle timeout":        {"idleTimeout: 5s", "idleTimeout: 4s", lists{warnings: []string{"limits.idleTimeout: 4s is below headerTimeout, 5s"}}},
		"no idle timeout":     {", idleTimeout: 5s", "", lists{}},
		"no keys":             {"keys: [first-key], ", "", lists{warnings: []string{"workspaces[acme].keys: has no keys"}}},
		"burst":               {"burst: 10", "burst: 9", lists{warnings: []string{"workspaces[acme].burst: 9 is below 10, the calls of 500ms"}}},
		"no rate":             {"ratePerSecond: 20, burst: 10", "rank: 1", lists{}},
		"syntax":              {"routes:", "roads:", lists{errors: []string{"document: document is not a valid configuration: line 8, column 1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			review := ReviewYAML([]byte(strings.Replace(_cleanDocument, test.old, test.new, 1)), nil)
			assert.Equal(t, len(review.Errors), len(test.want.errors), "%v", review.Errors)
			for i, want := range test.want.errors {
				assert.ErrorContains(t, review.Errors[i], want)
			}
			assert.Equal(t, len(review.Warnings), len(test.want.warnings), "%v", review.Warnings)
			for i, want := range test.want.warnings {
				assert.ErrorContains(t, review.Warnings[i], want)
			}
		})
	}
}

// A service that no route uses is reported with its versions and its policy.
func TestReviewFindsUnusedService(t *testing.T) {
	unused := strings.NewReplacer("name: all, service: desk", "name: all, service: press", "name: slips, service: desk", "name: slips, service: press")
	review := ReviewYAML([]byte(unused.Replace(_cleanDocument)), nil)
	var fields []string
	for _, warning := range review.Warnings {
		fields = append(fields, warning.Field)
	}
	assert.DeepEqual(t, fields, []string{"services[desk]", "versions[desk/v1]", "versions[desk/v2]", "policies[desk]"})
}

// A syntax error has its line, also where its text is not shown.
func TestReviewGivesLineOfSyntaxErrors(t *testing.T) {
	document := strings.Replace(_cleanDocument, "routes:", "roads:", 1)
	withoutWorkspaces, _, _ := strings.Cut(document, "workspaces:")
	for _, text := range []string{document, withoutWorkspaces} {
		review := ReviewYAML([]byte(text), nil)
		assert.Equal(t, len(review.Errors), 1)
		assert.Equal(t, review.Errors[0].Line, 8)
	}
	review := ReviewYAML(make([]byte, MaxDocumentBytes+1), nil)
	assert.ErrorContains(t, review.Errors, "document: has 1048577 bytes")
}

// Without the configuration in force, a document that leaves the weights out is
// not refused for it. With it, its services must exist there.
func TestReviewOfDocumentWithoutWeights(t *testing.T) {
	document := []byte(strings.Replace(_cleanDocument, ", weights: [{version: v1, share: 100}]", "", 1))
	assert.Equal(t, len(ReviewYAML(document, nil).Errors), 0)
	assert.ErrorContains(t, ReviewYAML(document, &Config{}).Errors, "shares add up to 0%")
	assert.Equal(t, len(ReviewYAML([]byte(_validDocument), nil).Errors), 0, "weights of two versions are kept")
	current := ReviewYAML([]byte(_cleanDocument), nil).Config
	assert.DeepEqual(t, ReviewYAML(document, &current).Config, current)
}

// A key that a workspace lists twice counts once.
func TestCountNewKeys(t *testing.T) {
	from := Config{Workspaces: []Workspace{{Name: "a", KeyHashes: []KeyHash{HashKey("1"), HashKey("2")}}, {Name: "b", KeyHashes: []KeyHash{HashKey("3")}}}}
	to := Config{Workspaces: []Workspace{{Name: "a", KeyHashes: []KeyHash{HashKey("2"), HashKey("4"), HashKey("5"), HashKey("5")}}}}
	for name, want := range map[WorkspaceName][2]int{"a": {2, 1}, "b": {0, 1}, "c": {0, 0}} {
		assert.Equal(t, [2]int{CountNewKeys(from, to, name), CountNewKeys(to, from, name)}, want, "%s", name)
	}
}
