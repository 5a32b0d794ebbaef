package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/wire"
)

// _crashLabelBytes is the longest label of a call.
const _crashLabelBytes = 120

// crashTable returns a table of blocked calls that crashed two versions each.
func crashTable(records int) *crash.Table {
	t := crash.New("node-0001")
	for i := range records {
		target := crash.NewTarget(crash.Request{Method: "POST", Host: "service-001.example", URI: fmt.Sprint("/path/", i)})
		label := fmt.Sprintf("POST service-001.example/path/%03d/", i)
		call := crash.Call{Target: target, Content: crash.NewContent(target, nil), Label: label + strings.Repeat("x", _crashLabelBytes-len(label))}
		for process := range crash.Threshold {
			at := _now.Add(time.Duration(process) * time.Millisecond)
			version := "v1.20.3"
			if process > 0 {
				version = "v1.20.4"
			}
			t.RecordCrash(at, call, crash.Crash{
				Process: crash.NewProcess(label, uint64(process)), StartedAt: at, At: at,
				Runner: crash.Runner{Service: "service-001", Version: config.VersionName(version)},
			})
		}
	}
	return t
}

// BenchmarkCrashes measures choosing the records of crashes for a message and
// encoding them (send), and at the receiver decoding and merging them into an
// equal table (receive); and the size of the message and of the table, which is
// full with 256 records.
func BenchmarkCrashes(b *testing.B) {
	for _, records := range []int{1, 32, 256} {
		t, heapBytes := heapOf(func() *crash.Table { return crashTable(records) })
		assert.Equal(b, len(t.Records(_now)), records)
		message := &lentilferryv1.ExchangeRequest{CrashRecords: wire.EncodeCrashRecords(_now, t.Shared(_now))}
		value, err := proto.Marshal(message)
		assert.NilError(b, err)
		b.Run(fmt.Sprint("send/records=", records), func(b *testing.B) {
			for b.Loop() {
				_, err := proto.Marshal(&lentilferryv1.ExchangeRequest{CrashRecords: wire.EncodeCrashRecords(_now, t.Shared(_now))})
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(message.GetCrashRecords())), "sent-records")
			b.ReportMetric(float64(len(value)), "message-B")
			b.ReportMetric(float64(gzipSize(b, message)), "message-gzip-B")
			b.ReportMetric(float64(heapBytes)/float64(records), "held-B/record")
		})
		b.Run(fmt.Sprint("receive/records=", records), func(b *testing.B) {
			for b.Loop() {
				var received lentilferryv1.ExchangeRequest
				assert.NilError(b, proto.Unmarshal(value, &received))
				for _, r := range wire.DecodeCrashRecords(_now, received.GetCrashRecords()) {
					t.Merge(_now, r)
				}
			}
		})
	}
}
