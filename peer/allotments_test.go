package peer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/allotment"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/wire"
)

// A report to a node of an earlier build, which lacks the method, fails, so that
// the sender falls back to fixed shares instead of taking silence for consent.
func TestAllotmentReportToEarlierBuildFails(t *testing.T) {
	_, handler := lentilferryv1connect.NewPeerServiceHandler(lentilferryv1connect.UnimplementedPeerServiceHandler{}, HandlerOptions()...)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	client := NewClients(transport).For(netip.MustParseAddrPort(server.Listener.Addr().String()))
	_, err := client.ReportAllotments(context.Background(), connect.NewRequest(wire.EncodeAllotmentReport(allotment.Report{Source: "n"}, false)))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
}

// A malformed report is refused before it reaches the counts.
func TestMalformedAllotmentReportIsRefused(t *testing.T) {
	s := NewServer(nil, nil, nil, nil, nil)
	message := &lentilferryv1.ReportAllotmentsRequest{Workspaces: []uint64{1}}
	_, err := s.ReportAllotments(context.Background(), connect.NewRequest(message))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}
