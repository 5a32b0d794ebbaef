package call

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/routing"
)

// BenchmarkCheckCrashes measures what the check for calls that crash upstreams
// costs an ingress for each try.
func BenchmarkCheckCrashes(b *testing.B) {
	const fullTable = 256
	now := time.Unix(1_800_000_000, 0)
	body := bytes.Repeat([]byte("b"), _maxReplayBytes)
	target := targetOf(httptest.NewRequest(http.MethodPost, "http://h.example/p?q=1", http.NoBody), "desk")
	block := func(table *crash.Table, t crash.Target, body []byte) {
		call := crash.Call{Target: t, Content: crash.NewContent(t, body)}
		for i := range crash.Threshold {
			at := now.Add(time.Duration(i) * time.Millisecond)
			table.RecordCrash(at, call, crash.Crash{Process: uint64(i), Runner: crash.Runner{Service: "desk", Version: "v1"}, StartedAt: at, At: at})
		}
	}
	for _, test := range []struct {
		name string
		// others is the number of records of other targets, and onRecord the body
		// of a blocked call to the target; nil if there is none.
		others   int
		onRecord []byte
		body     []byte
		want     Outcome
	}{
		{"empty", 0, nil, body[:1_000], Answered},
		{"others", fullTable, nil, body[:1_000], Answered},
		{"target", fullTable - 1, []byte("other"), body[:1_000], Answered},
		{"blocked", fullTable - 1, body[:1_000], body[:1_000], NotRun},
		{"blocked-64KB", fullTable - 1, body, body, NotRun},
	} {
		b.Run(test.name, func(b *testing.B) {
			table := crash.New("n1")
			for i := range test.others {
				block(table, crash.NewTarget(crash.Request{URI: strconv.Itoa(i)}), nil)
			}
			if test.onRecord != nil {
				block(table, target, test.onRecord)
			}
			ingress := &Ingress{deps: IngressDependencies{
				SourceService: "desk", Crashes: table, Now: func() time.Time { return now }, NodeCount: func() int { return 1_100 },
			}}
			endpoint := &routing.Endpoint{Member: membership.Member{Service: "desk", Version: "v1"}}
			request := httptest.NewRequest(http.MethodPost, "http://h.example/p?q=1", http.NoBody)
			request.ContentLength = int64(len(test.body))
			var result Result
			c := ingressCall{ingress: ingress, request: request, body: newReplayBody(bytes.NewReader(test.body))}
			b.ReportAllocs()
			for b.Loop() {
				result = c.checkCrashes(b.Context(), endpoint)
				if c.body.sourceBytes > 0 {
					c.body = newReplayBody(bytes.NewReader(test.body))
				}
			}
			assert.Equal(b, result.Outcome, test.want)
		})
	}
}
