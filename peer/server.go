package peer

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/allotment"
	"lentilferry.example/lentilferry/evidence"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/wire"
)

// Server serves PeerService to other nodes.
type Server struct {
	gossip    *Gossip
	collector *evidence.Collector
	applied   *membership.AppliedRevisions
	// departures stores departures for nodes that the platform turns away.
	departures DepartureLogs
	allotments AllotmentRoles
}

// AllotmentRoles are the roles of this node in limiting the calls of workspaces.
type AllotmentRoles interface {
	// ReceiveAllotmentReport takes a report of a node of this zone or, with
	// zoneTotal set, of a zone, and returns the newest state.
	ReceiveAllotmentReport(ctx context.Context, r allotment.Report, zoneTotal bool) allotment.State
}

var _ lentilferryv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer returns a Server.
func NewServer(gossip *Gossip, collector *evidence.Collector, applied *membership.AppliedRevisions, departures DepartureLogs, allotments AllotmentRoles) *Server {
	return &Server{gossip: gossip, collector: collector, applied: applied, departures: departures, allotments: allotments}
}

// Exchange exchanges state with the requesting node. It is also how that node
// probes this one.
func (s *Server) Exchange(_ context.Context, r *connect.Request[lentilferryv1.ExchangeRequest]) (*connect.Response[lentilferryv1.ExchangeResponse], error) {
	return connect.NewResponse(s.gossip.HandleExchange(r.Msg)), nil
}

// ProbeFor probes a member on behalf of the requesting node.
func (s *Server) ProbeFor(ctx context.Context, r *connect.Request[lentilferryv1.ProbeForRequest]) (*connect.Response[lentilferryv1.ProbeForResponse], error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(r.Msg.GetPeer()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Wrap(err, "peer"))
	}
	err := s.gossip.Exchange(ctx, membership.NodeID(r.Msg.GetTarget()), address)
	return connect.NewResponse(&lentilferryv1.ProbeForResponse{Reached: err == nil}), nil
}

// Pull returns this node's revision as a difference from the requesting node's
// or in full, and nothing if it isn't newer. It serves only _maxConcurrentPulls
// at a time, so that many nodes starting at once don't overload one peer.
// Further requests wait, and get an error if their context ends first.
func (s *Server) Pull(ctx context.Context, r *connect.Request[lentilferryv1.PullRequest]) (*connect.Response[lentilferryv1.PullResponse], error) {
	select {
	case s.gossip.pullSlots <- struct{}{}:
		defer func() { <-s.gossip.pullSlots }()
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many concurrent pulls"))
	}
	response := &lentilferryv1.PullResponse{}
	if bundle, ok := s.gossip.deps.Replica.BundleFor(r.Msg.GetHave()); ok {
		response.Bundle = wire.EncodeBundle(bundle)
	}
	return connect.NewResponse(response), nil
}

// Report stores a node's report of evidence.
func (s *Server) Report(_ context.Context, r *connect.Request[lentilferryv1.ReportRequest]) (*connect.Response[lentilferryv1.ReportResponse], error) {
	s.collector.Add(s.gossip.deps.Now(), wire.DecodeReport(r.Msg))
	return connect.NewResponse(&lentilferryv1.ReportResponse{}), nil
}

// Collect returns the reports of the zone's nodes on a rollout.
func (s *Server) Collect(_ context.Context, r *connect.Request[lentilferryv1.CollectRequest]) (*connect.Response[lentilferryv1.CollectResponse], error) {
	response := &lentilferryv1.CollectResponse{}
	for _, report := range s.collector.Reports(r.Msg.GetRollout()) {
		response.Reports = append(response.Reports, wire.EncodeReport(report))
	}
	return connect.NewResponse(response), nil
}

// TellApplied stores which revision a node has applied.
func (s *Server) TellApplied(_ context.Context, r *connect.Request[lentilferryv1.TellAppliedRequest]) (*connect.Response[lentilferryv1.TellAppliedResponse], error) {
	s.applied.Record(membership.NodeID(r.Msg.GetFrom()), r.Msg.GetIncarnation(), r.Msg.GetRevision())
	return connect.NewResponse(&lentilferryv1.TellAppliedResponse{}), nil
}

// ZoneApplied returns which revision all members of this zone have applied, and
// which members are behind.
func (s *Server) ZoneApplied(context.Context, *connect.Request[lentilferryv1.ZoneAppliedRequest]) (*connect.Response[lentilferryv1.ZoneAppliedResponse], error) {
	zone := s.gossip.deps.Table.Self().Zone
	return connect.NewResponse(wire.EncodeZoneApplied(s.applied.Summarize(zone, s.gossip.deps.Table.ZoneMembers(zone)))), nil
}

// ReportAllotments takes a report of the calls of workspaces.
func (s *Server) ReportAllotments(ctx context.Context, r *connect.Request[lentilferryv1.ReportAllotmentsRequest]) (*connect.Response[lentilferryv1.ReportAllotmentsResponse], error) {
	report, err := wire.DecodeAllotmentReport(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	st := s.allotments.ReceiveAllotmentReport(ctx, report, r.Msg.GetZoneTotal())
	return connect.NewResponse(wire.EncodeAllotmentState(st)), nil
}
