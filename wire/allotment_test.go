package wire_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/allotment"
	"lentilferry.example/lentilferry/wire"
)

// Every field of a report and of a state survives encoding and decoding, and lists
// of different lengths are rejected. A receiver would otherwise panic.
func TestAllotmentMessages(t *testing.T) {
	r := allotment.Report{
		Source: "n", Zone: "z", Epoch: 1 << 62, Sequence: 2, Nodes: 3, Vouched: 4 * time.Second, Full: true,
		Counts: []allotment.Count{{Workspace: allotment.IDOf("w"), Asked: 6, Admitted: 5, Recent: []uint32{1, 0, 4, 0, 0, 0, 0, 0, 0, 0}}},
	}
	message := wire.EncodeAllotmentReport(r, true)
	assert.Assert(t, message.GetZoneTotal())
	got, err := wire.DecodeAllotmentReport(message)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	message.Recent = message.GetRecent()[1:]
	_, err = wire.DecodeAllotmentReport(message)
	assert.Assert(t, errors.Is(err, wire.ErrMalformed), "%v", err)
	message = wire.EncodeAllotmentReport(r, true)
	message.Asked = nil
	_, err = wire.DecodeAllotmentReport(message)
	assert.Assert(t, errors.Is(err, wire.ErrMalformed), "%v", err)

	st := allotment.State{Resend: true, Ready: true, Age: time.Second, Scarce: []allotment.Fraction{{Workspace: 7, Value: 0.25}}}
	answer := wire.EncodeAllotmentState(st)
	gotState, err := wire.DecodeAllotmentState(answer)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotState, st)
	answer.Fractions = nil
	_, err = wire.DecodeAllotmentState(answer)
	assert.Assert(t, errors.Is(err, wire.ErrMalformed), "%v", err)
}

// A report of the workspaces that call within an interval stays small.
func TestAllotmentReportSize(t *testing.T) {
	r := allotment.Report{Source: "sidecar-capital-a-1", Zone: "capital-a", Epoch: 1 << 60, Sequence: 100_000, Nodes: 1, Vouched: 5 * time.Second}
	for i := range 8 {
		r.Counts = append(r.Counts, allotment.Count{Workspace: allotment.WorkspaceID(1<<63 + uint64(i)), Asked: 100_000, Admitted: 90_000})
	}
	size := proto.Size(wire.EncodeAllotmentReport(r, false))
	t.Logf("8 workspaces: %d bytes", size)
	assert.Assert(t, size <= 200, "%d bytes", size)
}
