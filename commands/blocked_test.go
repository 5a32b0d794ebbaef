package commands

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/crash"
)

// crashUpstreams records that a call crashed a number of upstreams of desk, one
// after the other, the last one now. Its content begins with prefix.
func (n *fakeNode) crashUpstreams(prefix byte, label string, times int) crash.Content {
	content := crash.Content{prefix, prefix, prefix, prefix, 0xab}
	now := time.Now()
	for i := range times {
		at := now.Add(time.Duration(i-times+1) * time.Second)
		n.crashes.RecordCrash(at, crash.Call{Content: content, Label: label}, crash.Crash{
			Process: uint64(prefix)<<8 + uint64(i), Runner: crash.Runner{Service: "desk", Version: "v1"}, StartedAt: at.Add(-time.Millisecond), At: at,
		})
	}
	return content
}

// The list names each call on record with its state, the blocked one first.
func TestBlockedCallsAreListed(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "As known to n1: no call was running", "blocked")
	f.node.crashUpstreams(0x22, "GET h/counted", 1)
	f.node.crashUpstreams(0x11, "GET h/bad", crash.Threshold)
	out := f.expect(ExitOK, "11111111ab", "blocked")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 4, out)
	for i, want := range [][]string{2: {"blocked", "desk/v1", "GET h/bad"}, 3: {"counted", "desk/v1", "GET h/counted"}} {
		for _, text := range want {
			assert.Assert(t, strings.Contains(lines[i], text), "%q is not in %q", text, lines[i])
		}
	}
	f.expect(ExitOK, `"blockEndsInMillis": "`, "blocked", "--output", "json")
	f.expect(ExitOK, "blocked: true", "blocked", "--output", "yaml")
	f.expect(ExitUsage, `unexpected argument "now"`, "blocked", "now")
}

// A block is lifted by the call's content or by a prefix that no other call on
// record has.
func TestUnblock(t *testing.T) {
	f := newFixture(t)
	bad := f.node.crashUpstreams(0x11, "GET h/bad", crash.Threshold)
	f.node.crashUpstreams(0x22, "GET h/counted", 1)
	f.expect(ExitOK, "GET h/bad is allowed again", "unblock", bad.String())
	assert.DeepEqual(t, f.node.lifts, []string{"ann"})
	assert.Equal(t, f.node.crashes.BlockedCount(time.Now()), 0)
	f.expect(ExitOK, "cleared", "blocked")
	f.expect(ExitOK, "Forgot 1 crashes of call 22222222ab", "unblock", "22222222")

	f.node.crashUpstreams(0x33, "GET h/third", crash.Threshold)
	f.expect(ExitOK, `"trips": 1`, "unblock", "--output", "json", "33333333AB")
	assert.Equal(t, f.node.crashes.BlockedCount(time.Now()), 0)
}

func TestUnblockErrors(t *testing.T) {
	f := newFixture(t)
	bad := f.node.crashUpstreams(0x11, "GET h/bad", crash.Threshold)
	unknown := crash.Content{0x44}
	near := bad
	near[15] = 1
	f.node.crashes.RecordCrash(time.Now(), crash.Call{Content: near}, crash.Crash{Process: 9, At: time.Now()})
	for name, test := range map[string]struct {
		code int
		text string
		args []string
	}{
		"no content":     {ExitUsage, "give one content; 0 given", nil},
		"two contents":   {ExitUsage, "give one content; 2 given", []string{bad.String(), near.String()}},
		"short prefix":   {ExitUsage, "the first 8 or more", []string{"1111111"}},
		"no digits":      {ExitUsage, "want 32 hexadecimal digits", []string{"11111111-ab"}},
		"malformed":      {ExitUsage, "is not the content of a call: want 32 hexadecimal digits", []string{strings.Repeat("x", 32)}},
		"too long":       {ExitUsage, "is not the content of a call: want 32 hexadecimal digits", []string{bad.String() + "00"}},
		"ambiguous":      {ExitUsage, bad.String() + ", " + near.String(), []string{bad.String()[:16]}},
		"unknown":        {ExitRefused, "no call of content " + unknown.String() + " is on record at n1", []string{unknown.String()}},
		"unknown prefix": {ExitRefused, "no call whose content begins with 44444444 is on record at n1", []string{"44444444"}},
		"no operator":    {ExitUsage, "name the operator who sends the request", []string{"--operator", "", bad.String()}},
	} {
		t.Run(name, func(t *testing.T) {
			code, out := f.run(append([]string{"unblock"}, test.args...)...)
			assert.Equal(t, code, test.code, out)
			assert.Assert(t, strings.Contains(out, test.text), "%q is not in:\n%s", test.text, out)
		})
	}
	assert.Equal(t, f.node.crashes.BlockedCount(time.Now()), 1)
	assert.Equal(t, len(f.node.lifts), 1, "only the unknown content came to the node")
}
