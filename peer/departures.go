package peer

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/upstream"
	"lentilferry.example/lentilferry/wire"
)

// DepartureLogs reads and extends the stored departures of any node's upstream.
type DepartureLogs interface {
	LoadDeparturesOf(ctx context.Context, node membership.NodeID) ([]upstream.Instance, error)
	AppendDeparturesOf(ctx context.Context, node membership.NodeID, departed []upstream.Instance) error
}

// RecordDepartures asks a peer to store departures of a node's upstream.
func (c *Clients) RecordDepartures(ctx context.Context, peer netip.AddrPort, node membership.NodeID, departed []upstream.Instance) error {
	request := &lentilferryv1.RecordDeparturesRequest{Node: string(node), Departures: wire.EncodeDepartures(departed)}
	_, err := c.For(peer).RecordDepartures(ctx, connect.NewRequest(request))
	return errors.Wrapf(err, "record departures through %s", peer)
}

// ListDepartures asks a peer for the stored departures of a node's upstream.
func (c *Clients) ListDepartures(ctx context.Context, peer netip.AddrPort, node membership.NodeID) ([]upstream.Instance, error) {
	response, err := c.For(peer).ListDepartures(ctx, connect.NewRequest(&lentilferryv1.ListDeparturesRequest{Node: string(node)}))
	if err != nil {
		return nil, errors.Wrapf(err, "list departures through %s", peer)
	}
	return wire.DecodeDepartures(response.Msg.GetDepartures()), nil
}

// RecordDepartures stores departures of the requesting node's upstream.
func (s *Server) RecordDepartures(ctx context.Context, r *connect.Request[lentilferryv1.RecordDeparturesRequest]) (*connect.Response[lentilferryv1.RecordDeparturesResponse], error) {
	err := s.departures.AppendDeparturesOf(ctx, membership.NodeID(r.Msg.GetNode()), wire.DecodeDepartures(r.Msg.GetDepartures()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&lentilferryv1.RecordDeparturesResponse{}), nil
}

// ListDepartures returns the stored departures of the requesting node's
// upstream.
func (s *Server) ListDepartures(ctx context.Context, r *connect.Request[lentilferryv1.ListDeparturesRequest]) (*connect.Response[lentilferryv1.ListDeparturesResponse], error) {
	departed, err := s.departures.LoadDeparturesOf(ctx, membership.NodeID(r.Msg.GetNode()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&lentilferryv1.ListDeparturesResponse{Departures: wire.EncodeDepartures(departed)}), nil
}
