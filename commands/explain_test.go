package commands

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const _logs = `   0.23 host {"time":"2026-06-08T02:10:43.2Z","level":"info","message":"Routed call","node":"n1","call":"a1","upstream":"n2","attempt":1,"outcome":"not-run","reason":"too-late","load":"12/12 calls of 191ms, 3ms old"}
{"time":"2026-06-08T02:10:43.1Z","level":"info","message":"Routed call","node":"n2","call":"a1.b","upstream":"n3","version":"v1","outcome":"answered","reason":""}
{"time":"2026-06-08T02:10:43.3Z","level":"info","message":"Gave up call","node":"n1","call":"a1","outcome":"not-run","reason":"too-late","retryAfter":812.5}
{"time":"2026-06-08T02:10:43.4Z","level":"info","message":"Routed call","node":"n1","call":"a17","outcome":"answered"}
this line names a1 and is not structured
`

// The trace of a call contains the calls that were made for it, in order of
// time, but not a call whose ID only begins with the same characters. Lines that
// can't be parsed are counted.
func TestCallTraceText(t *testing.T) {
	trace := newCallTrace("a1")
	assert.NilError(t, trace.read(strings.NewReader(_logs)))
	text := trace.text()
	assert.Equal(t, len(trace.lines), 3)
	assert.Assert(t, strings.Index(text, "made for it: a1.b") < strings.Index(text, "12/12 calls"), text)
	assert.Assert(t, strings.Contains(text, "retryAfter: 812.5"))
	assert.Assert(t, strings.Contains(text, "1 lines name the call but can't be parsed"))
	assert.Assert(t, strings.Contains(text, "cause: too-late: no upstream could have run it"), text)
}

// The last line with an outcome or a reason says why the call ended. A reason
// without an explanation is printed as it is.
func TestCallTraceOutcome(t *testing.T) {
	for line, want := range map[string]string{
		`{"call":"a1","outcome":"answered","upstream":"n2","version":"v2"}`: "answered by n2, version v2",
		`{"call":"a1","outcome":"unknown","reason":"broken"}`:               "broken: the connection broke",
		`{"call":"a1","outcome":"not-run","reason":"something-new"}`:        "something-new",
		`{"call":"a1","message":"Retry budget is spent"}`:                   "its node may have failed",
	} {
		trace := newCallTrace("a1")
		assert.NilError(t, trace.read(strings.NewReader(line)))
		assert.Assert(t, strings.Contains(trace.outcomeText(), want), "%s: %s", line, trace.outcomeText())
	}
}
