package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/wire"
)

// ListBlockedCalls returns the calls that were running when upstreams crashed,
// those that are not blocked included.
func (s *Server) ListBlockedCalls(
	context.Context, *connect.Request[lentilferryv1.ListBlockedCallsRequest],
) (*connect.Response[lentilferryv1.ListBlockedCallsResponse], error) {
	now := s.now()
	return connect.NewResponse(&lentilferryv1.ListBlockedCallsResponse{
		Calls: wire.EncodeBlockedCalls(now, s.node.BlockedCalls(now)),
		Self:  string(s.node.Members().Self().ID),
	}), nil
}

// LiftBlockedCall allows a blocked call again, here and, by broadcast, at all
// other nodes. The error has the code NotFound if the call is not on record.
func (s *Server) LiftBlockedCall(
	_ context.Context, r *connect.Request[lentilferryv1.LiftBlockedCallRequest],
) (*connect.Response[lentilferryv1.LiftBlockedCallResponse], error) {
	var missing faults.List
	if requireOperator(&missing, r.Msg.GetOperator()); len(missing) > 0 {
		return nil, toConnectError(missing)
	}
	content, err := crash.ParseContent(r.Msg.GetContent())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	now := s.now()
	before, found := s.node.LiftBlockedCall(now, content, r.Msg.GetOperator())
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf(
			"no call of content %s is on record at %s, so it is not blocked there; 'lentilferry blocked' lists those that are",
			content, s.node.Members().Self().ID))
	}
	return connect.NewResponse(&lentilferryv1.LiftBlockedCallResponse{Before: wire.EncodeBlockedCall(now, before)}), nil
}
