package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

// A call whose key is missing, unknown or withdrawn must neither run nor get
// another answer than 401 or 503. A key counts as withdrawn at a node that
// accepted a newer one more than the grace period before.
func TestCheckerDetectsAcceptedKeys(t *testing.T) {
	for name, test := range map[string]struct {
		key          string
		status       int
		acceptedFor  time.Duration
		unauthorized bool
	}{
		"missing":              {key: "", status: http.StatusOK, unauthorized: true},
		"unknown":              {key: _unknownKey, status: http.StatusTooManyRequests, unauthorized: true},
		"withdrawn":            {key: rotatingKey(2), status: http.StatusBadGateway, acceptedFor: time.Second, unauthorized: true},
		"withdrawn just now":   {key: rotatingKey(2), status: http.StatusOK, acceptedFor: _withdrawalGracePeriod / 2},
		"newest":               {key: rotatingKey(3), status: http.StatusOK, acceptedFor: time.Second},
		"newer than the nodes": {key: rotatingKey(4), status: http.StatusUnauthorized, acceptedFor: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			c.accepted["n1"] = acceptedVersion{3, time.Now().Add(-test.acceptedFor)}
			call := fakehost.Call{ID: "c1", Method: http.MethodGet, Path: _pathLookup + "7", Key: test.key}
			c.recordSend(call, true, "n1")
			workspace, _ := workspaceOf(test.key)
			c.recordRun(fakehost.Run{ID: "c1", RequestHash: fakehost.HashRequest(call.Method, call.Path, nil), Tenant: workspace})
			c.recordResponse("c1", fakehost.Response{Status: test.status})
			_, violations := c.report()
			// One for the run and one for the answer.
			want := 0
			if test.unauthorized {
				want = 2
			}
			assert.Equal(t, len(violations), want, "%v", violations)
		})
	}
}

// One call more than the bound within a window is a violation, and calls that
// didn't run don't count.
func TestCheckerDetectsExceededAllotment(t *testing.T) {
	for name, test := range map[string]struct {
		runs int
		span time.Duration
		want int
	}{
		"bound":         {runs: _maxLimitedRuns, span: _allotmentWindow},
		"above":         {runs: _maxLimitedRuns + 1, span: _allotmentWindow, want: 1},
		"longer window": {runs: _maxLimitedRuns + 1, span: 2 * _allotmentWindow},
	} {
		t.Run(name, func(t *testing.T) {
			c, start := newChecker(), time.Now()
			for i := range 2 * test.runs {
				sent := &sentCall{call: fakehost.Call{Key: _keyPrefix + _limited}, sentAt: start.Add(test.span * time.Duration(i) / time.Duration(2*test.runs))}
				if i%2 == 0 {
					sent.runs = []fakehost.Run{{}}
				}
				c.calls[fmt.Sprint(i)] = sent
			}
			c.checkAllotment()
			_, violations := c.report()
			assert.Equal(t, len(violations), test.want, "%v", violations)
		})
	}
}
