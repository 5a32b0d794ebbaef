package call

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
)

// A retry delay leaves the caller time for the call, and callers that are
// refused together get different delays.
func TestRetryAfterHint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ownerDelay := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ownerDelay")) * time.Millisecond
		remaining := time.Duration(rapid.IntRange(0, 5000).Draw(t, "left")) * time.Millisecond
		random := rapid.Float64Range(0, 1).Draw(t, "random")
		after := retryAfterHint(ownerDelay, remaining, random)
		assert.Assert(t, after > 0 && after <= max(time.Millisecond, remaining/3))
		if ownerDelay > 0 && ownerDelay < remaining/3 {
			assert.Assert(t, after >= time.Duration(float64(ownerDelay)*(1-_retryAfterJitter))-1)
		}
	})
	assert.Assert(t, retryAfterHint(time.Second, 4*time.Second, 0) > retryAfterHint(time.Second, 4*time.Second, 1))
}

func TestParseLoad(t *testing.T) {
	load, ok := parseLoad("12 9 121")
	assert.Assert(t, ok)
	assert.Equal(t, load, routing.Load{Calls: 12, Slots: 9, AverageDuration: 121 * time.Millisecond})
	for _, text := range []string{"", "12", "12 9", "-1 9 5", "1 -9 5", "1 9 x", "1 9 5 7"} {
		_, ok := parseLoad(text)
		assert.Assert(t, !ok, text)
	}
}

// One attempt with an unknown outcome makes the outcome of the call unknown.
func TestCombineResults(t *testing.T) {
	unknown, notRun := Result{Outcome: Unknown, Reason: ReasonConnectionBroken}, Result{Outcome: NotRun, Reason: ReasonUnreachable}
	assert.Equal(t, combineResults(unknown, notRun), unknown)
	assert.Equal(t, combineResults(notRun, unknown), unknown)
	assert.Equal(t, combineResults(notRun, notRun), notRun)
}

// A report that another node sends malformed counts as none, and one with
// further fields is read.
func TestParseReportedLoad(t *testing.T) {
	want := routing.ReportedLoad{
		Running: 3, Waiting: 1, Slots: 6, Slowness: 1.5, MeanSlowness: 0.9,
		Age: 20 * time.Millisecond, Route: "r", Work: 40 * time.Millisecond,
	}
	assert.Equal(t, parseReportedLoad("3 1 6 1500 900 20000 40000", "r"), want)
	assert.Equal(t, parseReportedLoad("3 1 6 1500 900 20000 40000 7", "r"), want)
	for _, text := range []string{"", "3 1 6", "3 1 6 1500 900 20000 x", "3 1 6 -1500 900 20000 40000", "3 1 6 1500 900 20000 99999999999999"} {
		assert.Equal(t, parseReportedLoad(text, "r"), routing.ReportedLoad{}, text)
	}
}

// Guards against a workspace whose calls on public routes, which carry no key to
// the owner, weigh as the mean of all workspaces: the part of the workspace then
// changed with each of its calls.
func TestWorkspaceWeightOnPublicRoutes(t *testing.T) {
	key := config.HashKey("k1")
	table := routing.NewTable(config.Config{Workspaces: []config.Workspace{{Name: "acme", KeyHashes: []config.KeyHash{key}, Rate: 20, Burst: 1}}}, nil, nil)
	owner := &Owner{deps: OwnerDependencies{Table: func() *routing.Table { return table }}}
	for _, test := range []struct {
		workspace workspaceRef
		want      float64
	}{
		{workspaceRef{name: "acme", key: key}, 20},
		{workspaceRef{name: "acme"}, 20},
		{workspaceRef{name: "unknown"}, 0},
		{workspaceRef{}, 0},
	} {
		c := &ownerCall{owner: owner, forwarded: forwardedCall{workspace: test.workspace}}
		assert.Equal(t, c.workspaceWeight(), test.want, "%v", test.workspace)
	}
}
