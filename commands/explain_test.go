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
		`{"call":"a1","outcome":"unknown","reason":"upstream-crashed"}`:     "upstream-crashed: the upstream's process ended after it was sent",
		`{"call":"a1","outcome":"not-run","reason":"crashes-upstreams"}`:    "crashes-upstreams: it has crashed each upstream that ran it",
		`{"call":"a1","outcome":"not-run","reason":"something-new"}`:        "something-new",
		`{"call":"a1","message":"Retry budget is spent"}`:                   "its node may have failed",
	} {
		trace := newCallTrace("a1")
		assert.NilError(t, trace.read(strings.NewReader(line)))
		assert.Assert(t, strings.Contains(trace.outcomeText(), want), "%s: %s", line, trace.outcomeText())
	}
}

// The log lines of calls that were running when upstreams crashed, after those of
// a cluster: a1 was the third crash, so that its second try was refused; a2 came
// during the block, and a3 crashed one upstream and was answered by another.
const _crashLogs = `{"time":"2026-12-05T08:46:01.286035Z","level":"info","message":"Upstream did not respond","node":"n1","call":"a1","process":"i-n1","outcome":"unknown","reason":"upstream-crashed","ranFor":0.564}
{"time":"2026-12-05T08:46:01.286120Z","level":"info","message":"Upstream crashed while it ran a call","node":"n1","call":"a1","content":"63aad9928f083c31f89e7e728f51354a","upstream":"n1","process":3728380717912367517,"ranFor":0.509,"crashes":3,"trips":1}
{"time":"2026-12-05T08:46:01.286132Z","level":"info","message":"Blocked call that crashes upstreams","node":"n1","call":"a1","content":"63aad9928f083c31f89e7e728f51354a","label":"GET h.example/slips/crashing","wait":1000.000}
{"time":"2026-12-05T08:46:01.286143Z","level":"info","message":"Routed call","node":"n1","call":"a1","route":"slips","service":"desk","versions":"v1","version":"v1","upstream":"n1","load":"0/8 calls of 5ms, 277ms old","attempt":1,"outcome":"unknown","reason":"upstream-crashed","left":1999.140,"took":0.762}
{"time":"2026-12-05T08:46:01.286192Z","level":"info","message":"Call has crashed upstreams","node":"n1","call":"a1","content":"63aad9928f083c31f89e7e728f51354a","verdict":"blocked","service":"desk","version":"v1","wait":1363.180}
{"time":"2026-12-05T08:46:01.286210Z","level":"info","message":"Gave up call","node":"n1","call":"a1","route":"slips","versions":"v1","tried":1,"sent":1,"outcome":"unknown","reason":"upstream-crashed","retryAfter":0.000}
{"time":"2026-12-05T08:46:26.026333Z","level":"info","message":"Call has crashed upstreams","node":"n1","call":"a2","content":"63aad9928f083c31f89e7e728f51354a","verdict":"blocked","service":"desk","version":"v1","wait":3468.091}
{"time":"2026-12-05T08:46:26.026355Z","level":"info","message":"Gave up call","node":"n1","call":"a2","route":"slips","versions":"v1","tried":0,"sent":0,"outcome":"not-run","reason":"crashes-upstreams","retryAfter":3468.091}
{"time":"2026-12-05T08:46:25.421849Z","level":"info","message":"Upstream crashed while it ran a call","node":"n1","call":"a3","content":"b120401b508d5c125ad58d2a002a2bbf","upstream":"n1","process":14483337879348635345,"ranFor":100.031,"crashes":1,"trips":0}
{"time":"2026-12-05T08:46:25.723231Z","level":"info","message":"Cleared call that was running at crashes","node":"n1","call":"a3","content":"b120401b508d5c125ad58d2a002a2bbf","service":"desk","version":"v1"}
{"time":"2026-12-05T08:46:25.723250Z","level":"info","message":"Routed call","node":"n1","call":"a3","route":"slips","service":"desk","versions":"v1","version":"v1","upstream":"n5","load":"none","attempt":2,"outcome":"answered","reason":"","left":1598.384,"took":301.269}
`

func TestCallTraceOfCrashes(t *testing.T) {
	for call, wants := range map[string][]string{
		"a1": {
			"n1                       Upstream crashed while it ran a call\n", "process: 3728380717912367517\n", "crashes: 3\n",
			"Blocked call that crashes upstreams\n    content: 63aad9928f083c31f89e7e728f51354a\n    label: GET h.example/slips/crashing\n    wait: 1000.000\n",
			"cause: upstream-crashed: ",
		},
		"a2": {
			"Call has crashed upstreams\n    content: 63aad9928f083c31f89e7e728f51354a\n    service: desk\n    verdict: blocked\n",
			"retryAfter: 3468.091\n", "cause: crashes-upstreams: ", "'lentilferry unblock' lifts the block",
		},
		"a3": {"Cleared call that was running at crashes\n    content: b120401b508d5c125ad58d2a002a2bbf\n", "cause: answered by n5, version v1"},
	} {
		trace := newCallTrace(call)
		assert.NilError(t, trace.read(strings.NewReader(_crashLogs)))
		text := trace.text()
		for _, want := range wants {
			assert.Assert(t, strings.Contains(text, want), "call %s: %q is not in:\n%s", call, want, text)
		}
	}
}
