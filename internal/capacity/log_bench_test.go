package capacity

import (
	"flag"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// BenchmarkRoutedCallLine measures writing the log line of one routed call,
// with the output discarded.
func BenchmarkRoutedCallLine(b *testing.B) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	assert.NilError(b, flags.Set("logtostderr", "false"))
	klog.SetOutput(io.Discard)
	logger := klog.Background().WithValues("node", "node-0001")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("Routed call", "call", "4803000380450793724bc59fef5c6d86", "route", "service-001-route-1",
			"version", "v1.20.3", "upstream", "node-0002", "attempt", 1, "outcome", "answered", "reason", "", "took", 2*time.Millisecond)
	}
}
