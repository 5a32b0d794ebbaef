package peer

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/allotment"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/wire"
)

// ReportAllotments answers with two scarce workspaces.
func (p *fakePeer) ReportAllotments(_ context.Context, r *connect.Request[lentilferryv1.ReportAllotmentsRequest]) (*connect.Response[lentilferryv1.ReportAllotmentsResponse], error) {
	if _, err := wire.DecodeAllotmentReport(r.Msg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	st := allotment.State{Ready: true, Scarce: []allotment.Fraction{{Workspace: 1, Value: 0.5}, {Workspace: 2, Value: 1}}}
	return connect.NewResponse(wire.EncodeAllotmentState(st)), nil
}

// BenchmarkReportAllotments measures a report of 8 workspaces and its answer over
// loopback, both sides together.
func BenchmarkReportAllotments(b *testing.B) {
	_, address := startFakePeer(b)
	transport := NewTransport()
	b.Cleanup(transport.CloseIdleConnections)
	client := NewClients(transport).For(address)
	r := allotment.Report{Source: "sidecar-capital-a-1", Zone: "capital-a", Epoch: 1 << 60, Nodes: 1, Vouched: 5 * time.Second}
	for i := range 8 {
		r.Counts = append(r.Counts, allotment.Count{Workspace: allotment.WorkspaceID(1<<63 + uint64(i)), Asked: 100_000, Admitted: 90_000})
	}
	b.ReportAllocs()
	for range b.N {
		_, err := client.ReportAllotments(context.Background(), connect.NewRequest(wire.EncodeAllotmentReport(r, false)))
		assert.NilError(b, err)
	}
}
