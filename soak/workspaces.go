package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _keyPrefix begins every key, so that a key can be found wherever it leaks.
	// The rest is the name of the workspace, and the version of the configuration
	// if only that version has the key.
	_keyPrefix  = "secret-"
	_unknownKey = _keyPrefix + "nobody"
	// The workspace _limited has a rate, and each configuration replaces the key of
	// _rotating. _steady has neither.
	_steady, _limited, _rotating = "steady", "limited", "rotating"
)

const (
	// _limitedRate and _limitedBurst are far below what the callers send, so that
	// nodes that don't limit the calls together exceed the bound.
	_limitedRate  = 20
	_limitedBurst = 10
	// In any _allotmentWindow at most _maxLimitedRuns of the calls of _limited that
	// were sent in it may run: the allotment, a tenth more, and 20.
	_allotmentWindow = 5 * time.Second
	_maxLimitedRuns  = int((_limitedRate*5+_limitedBurst)*1.1 + 20)
	// _withdrawalGracePeriod is for how long a node may accept a key after it
	// accepted one of a newer configuration.
	_withdrawalGracePeriod = 250 * time.Millisecond
)

// tenants returns the workspaces of a version of the configuration.
func tenants(version int) []fakehost.Tenant {
	return []fakehost.Tenant{
		{Name: _steady, Keys: []string{_keyPrefix + _steady}},
		{Name: _limited, Keys: []string{_keyPrefix + _limited}, Rate: _limitedRate, Burst: _limitedBurst},
		{Name: _rotating, Keys: []string{rotatingKey(version)}},
	}
}

// rotatingKey returns the key that only the given version of the configuration
// has.
func rotatingKey(version int) string {
	return _keyPrefix + _rotating + "." + strconv.Itoa(version)
}

// workspaceOf returns the workspace of a key, and the version of the
// configuration if only that version has the key.
func workspaceOf(key string) (name string, version int) {
	name, text, _ := strings.Cut(strings.TrimPrefix(key, _keyPrefix), ".")
	version, _ = strconv.Atoi(text)
	return name, version
}

// randomKey returns a key for a call while a configuration is the newest: one in
// ten is unknown and one in ten missing, and half of those of _rotating have been
// withdrawn.
func randomKey(rnd *rand.Rand, newestVersion int) string {
	switch rnd.IntN(10) {
	case 0:
		return _unknownKey
	case 1:
		return ""
	case 2, 3:
		return rotatingKey(newestVersion - rnd.IntN(2))
	case 4, 5, 6:
		return _keyPrefix + _limited
	default:
		return _keyPrefix + _steady
	}
}

// acceptedVersion is the newest configuration whose own key a node has accepted,
// and when it first did.
type acceptedVersion struct {
	version int
	at      time.Time
}

// isUnauthorizedLocked reports whether a call that is sent to a node now must be
// refused for its key. The caller must hold c.mu.
func (c *checker) isUnauthorizedLocked(call fakehost.Call, node string, now time.Time) bool {
	if strings.HasPrefix(call.Path, _pathVersion) {
		return false
	}
	_, version := workspaceOf(call.Key)
	accepted := c.accepted[node]
	return call.Key == "" || call.Key == _unknownKey ||
		version != 0 && version < accepted.version && now.Sub(accepted.at) > _withdrawalGracePeriod
}

// checkKeyLocked records a violation if the response to a call contradicts its
// key. The caller must hold c.mu.
func (c *checker) checkKeyLocked(id string, sent *sentCall, now time.Time) {
	status := sent.response.Status
	name, version := workspaceOf(sent.call.Key)
	switch {
	case sent.unauthorized && status != 0 && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable:
		c.addViolationLockedf("call %s: %s answered %d to a key that is missing, unknown or withdrawn", id, sent.node, status)
	case status == http.StatusUnauthorized && !sent.unauthorized && name != _rotating:
		c.addViolationLockedf("call %s: %s answered 401 to a key that every configuration has", id, sent.node)
	case status == http.StatusTooManyRequests && name != _limited:
		c.addViolationLockedf("call %s: %s answered 429 although %q has no limit", id, sent.node, name)
	case status == http.StatusOK && version > c.accepted[sent.node].version:
		c.accepted[sent.node] = acceptedVersion{version, now}
	}
}

// checkRunKeyLocked records a violation if a call ran without a valid key, or if
// the request that arrived at the upstream holds a key or doesn't name the
// workspace. The caller must hold c.mu.
func (c *checker) checkRunKeyLocked(r fakehost.Run, sent *sentCall) {
	if sent.unauthorized {
		c.addViolationLockedf("call %s: run by %s although its key is missing, unknown or withdrawn at %s", r.ID, r.Instance, sent.node)
	}
	if name, _ := workspaceOf(sent.call.Key); r.Tenant != name {
		c.addViolationLockedf("call %s: run by %s for workspace %q instead of %q", r.ID, r.Instance, r.Tenant, name)
	}
	for header, values := range r.Headers {
		if strings.Contains(strings.Join(values, " "), _keyPrefix) {
			c.addViolationLockedf("call %s: %s got the key in header %s", r.ID, r.Instance, header)
		}
	}
}

// checkAllotment records a violation if too many calls of _limited ran, and
// returns the most that ran of those sent within _allotmentWindow.
func (c *checker) checkAllotment() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sentAt []time.Time
	for _, sent := range c.calls {
		if name, _ := workspaceOf(sent.call.Key); name == _limited && len(sent.runs) > 0 {
			sentAt = append(sentAt, sent.sentAt)
		}
	}
	slices.SortFunc(sentAt, time.Time.Compare)
	most, first := 0, 0
	for last := range sentAt {
		for sentAt[last].Sub(sentAt[first]) >= _allotmentWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	if most > _maxLimitedRuns {
		c.addViolationLockedf("%d calls of workspace %s that were sent within %s ran; the bound is %d", most, _limited, _allotmentWindow, _maxLimitedRuns)
	}
	return most
}

// checkLog records a violation if a node's log holds a key.
func (c *checker) checkLog(path string) {
	text, err := os.ReadFile(path) //nolint:gosec // The user chooses the folder.
	if err != nil || bytes.Contains(text, []byte(_keyPrefix)) {
		c.addViolationf("%s: unreadable or holds a key: %v", path, err)
	}
}
