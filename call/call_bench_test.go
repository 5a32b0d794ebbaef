package call_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkAdded compares a call through two nodes with a direct one to the
// same upstream, in turn, and reports the added time at p50 and p99.
func BenchmarkAddedLatency(b *testing.B) {
	for _, parallel := range []int{1, 4} {
		b.Run(fmt.Sprint("parallel=", parallel), func(b *testing.B) {
			upstream := serveUpstream(b, echoHandler())
			cluster := newTestCluster(b, time.Minute, slices.Repeat([]netip.AddrPort{upstream}, 4)...)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			direct := make(chan []time.Duration, parallel)
			throughNodes := make(chan []time.Duration, parallel)
			callsPerWorker := max(1, b.N/parallel)
			b.ReportAllocs()
			b.ResetTimer()
			for range parallel {
				go func() {
					var one, other []time.Duration
					for range callsPerWorker {
						one = append(one, timeCall(b, client, "http://"+upstream.String()+"/slips"))
						other = append(other, timeCall(b, client, cluster.url+"/slips"))
					}
					direct <- one
					throughNodes <- other
				}()
			}
			var one, other []time.Duration
			for range parallel {
				one = append(one, <-direct...)
				other = append(other, <-throughNodes...)
			}
			for _, q := range []float64{0.5, 0.99} {
				added := quantile(other, q) - quantile(one, q)
				b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-p%.0f-µs", 100*q))
				b.ReportMetric(float64(quantile(other, q))/float64(quantile(one, q)), fmt.Sprintf("ratio-p%.0f", 100*q))
			}
		})
	}
}

func timeCall(b *testing.B, client *http.Client, url string) time.Duration {
	request := newRequest(b, http.MethodGet, url, strings.NewReader("hello"))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		assert.Check(b, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	assert.Check(b, response.StatusCode == http.StatusOK, response.StatusCode)
	return time.Since(began)
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
