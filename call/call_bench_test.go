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

// BenchmarkAddedLatency compares a call through two nodes with a direct one to
// the same upstream, alternating, and reports the added latency at p50 and p99.
func BenchmarkAddedLatency(b *testing.B) {
	for _, parallel := range []int{1, 4} {
		b.Run(fmt.Sprint("parallel=", parallel), func(b *testing.B) {
			upstream := serveUpstream(b, echoHandler())
			cluster := newTestCluster(b, time.Minute, slices.Repeat([]netip.AddrPort{upstream}, 4)...)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			directResults := make(chan []time.Duration, parallel)
			forwardedResults := make(chan []time.Duration, parallel)
			callsPerWorker := max(1, b.N/parallel)
			b.ReportAllocs()
			b.ResetTimer()
			for range parallel {
				go func() {
					var directTimes, forwardedTimes []time.Duration
					for range callsPerWorker {
						directTimes = append(directTimes, timeCall(b, client, "http://"+upstream.String()+"/slips"))
						forwardedTimes = append(forwardedTimes, timeCall(b, client, cluster.url+"/slips"))
					}
					directResults <- directTimes
					forwardedResults <- forwardedTimes
				}()
			}
			var directTimes, forwardedTimes []time.Duration
			for range parallel {
				directTimes = append(directTimes, <-directResults...)
				forwardedTimes = append(forwardedTimes, <-forwardedResults...)
			}
			for _, q := range []float64{0.5, 0.99} {
				addedTime := quantile(forwardedTimes, q) - quantile(directTimes, q)
				b.ReportMetric(float64(addedTime.Microseconds()), fmt.Sprintf("added-p%.0f-µs", 100*q))
				b.ReportMetric(float64(quantile(forwardedTimes, q))/float64(quantile(directTimes, q)), fmt.Sprintf("ratio-p%.0f", 100*q))
			}
		})
	}
}

// timeCall returns the time that one call takes.
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

// quantile returns the q-quantile of d, which it sorts.
func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
