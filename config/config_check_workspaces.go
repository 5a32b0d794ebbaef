package config

import (
	"fmt"
	"math"
	"strings"
	"unicode"
)

// _emptyKeyHash is the hash of an empty key.
var _emptyKeyHash = HashKey("")

// checkWorkspaces checks all workspaces, and that no two share a key. Its faults
// name no key or hash.
func (k *checker) checkWorkspaces() {
	if len(k.config.Workspaces) > MaxWorkspaces {
		k.faultf("workspaces", "has %d entries; the maximum is %d", len(k.config.Workspaces), MaxWorkspaces)
	}
	names := make(map[WorkspaceName]bool, len(k.config.Workspaces))
	owners := make(map[KeyHash]WorkspaceName, len(k.config.Workspaces))
	for _, w := range k.config.Workspaces {
		field := fmt.Sprintf("workspaces[%s]", w.Name)
		k.checkWorkspaceName(field+".name", string(w.Name))
		if names[w.Name] {
			k.faultf(field, "is defined twice; remove one")
		}
		names[w.Name] = true
		for _, key := range w.KeyHashes {
			if key == _emptyKeyHash {
				k.faultf(field+".keys", "contains an empty key; remove it")
			}
			if owner, ok := owners[key]; ok && owner != w.Name {
				k.faultf(field+".keys", "contains a key of workspace %q; give each workspace its own keys", owner)
			}
			owners[key] = w.Name
		}
		k.checkAllotment(field, w)
	}
}

// checkWorkspaceName checks a name, which upstreams get as the value of a
// header.
func (k *checker) checkWorkspaceName(field, name string) {
	switch {
	case name == "":
		k.faultf(field, "is empty; set a name")
	case len(name) > MaxNameBytes:
		k.faultf(field, "has %d bytes; shorten it to %d or fewer", len(name), MaxNameBytes)
	case name != strings.TrimSpace(name) || strings.ContainsFunc(name, unicode.IsControl):
		k.faultf(field, "%q begins or ends with a space or contains a control character; remove it", name)
	}
}

// checkAllotment checks the rate and the burst of a workspace.
func (k *checker) checkAllotment(field string, w Workspace) {
	if !isFiniteAndNotNegative(w.Rate) {
		k.faultf(field+".ratePerSecond", "%g is not a rate; use 0 or more", w.Rate)
	}
	if !isFiniteAndNotNegative(w.Burst) {
		k.faultf(field+".burst", "%g is not a burst; use 0 or more", w.Burst)
	}
	if w.Rate > 0 && w.Burst < 1 {
		k.faultf(field+".burst", "%g would let no call in; use 1 or more with a ratePerSecond", w.Burst)
	}
}

func isFiniteAndNotNegative(v float64) bool {
	return v >= 0 && !math.IsInf(v, 1)
}
