// Package operator serves the operator API on a node.
package operator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/rollout"
	"lentilferry.example/lentilferry/wire"
)

// Node is the part of a node that the server needs.
type Node interface {
	Operations() *control.Operations
	Holder() *revision.Holder
	Members() *membership.Table
	InForce(ctx context.Context, now time.Time) membership.InForce
	// BlockedCalls returns all records of calls that were running when upstreams
	// crashed.
	BlockedCalls(now time.Time) []crash.Record
	// LiftBlockedCall clears a call and returns its record as it was before;
	// false if the call is not on record.
	LiftBlockedCall(now time.Time, content crash.Content, operator string) (crash.Record, bool)
}

// Server handles the requests of the operator API.
type Server struct {
	node Node
	now  func() time.Time

	mu sync.Mutex
	// document is that of formatted, which is nil before the first.
	formatted *revision.Snapshot
	document  []byte
}

var _ lentilferryv1connect.OperatorServiceHandler = (*Server)(nil)

// New returns a server for the node; now is its clock.
func New(node Node, now func() time.Time) *Server {
	return &Server{node: node, now: now}
}

// Handler returns the path to serve the operator API under, and its handler.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := lentilferryv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(2*config.MaxDocumentBytes))
	return path, limitConcurrency(handler)
}

// toConnectError wraps an error with the Connect code that tells the client
// what to do about it.
func toConnectError(err error) error {
	var invalid faults.List
	code := connect.CodeInternal
	switch {
	case errors.As(err, &invalid):
		code = connect.CodeInvalidArgument
	case errors.Is(err, control.ErrUnresolved):
		code = connect.CodeUnknown
	case errors.Is(err, rollout.ErrInfeasible), errors.Is(err, rollout.ErrOutdated), errors.Is(err, control.ErrNotManaged):
		code = connect.CodeFailedPrecondition
	case errors.Is(err, rollout.ErrState), errors.Is(err, objectstore.ErrConflict):
		code = connect.CodeAborted
	case errors.Is(err, objectstore.ErrNotFound):
		code = connect.CodeNotFound
	case errors.Is(err, objectstore.ErrUnavailable):
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, err)
}

// requireIdentity returns an invalid-argument error if a request doesn't name
// its operator and operation.
func requireIdentity(operator, operation string) error {
	var missing faults.List
	requireOperator(&missing, operator)
	if operation == "" {
		missing.Addf("operation", "is empty; give the request an ID of its own, so that it can be repeated")
	}
	if len(missing) > 0 {
		return toConnectError(missing)
	}
	return nil
}

// requireOperator adds a fault if a request doesn't name its operator.
func requireOperator(missing *faults.List, operator string) {
	if operator == "" {
		missing.Addf("operator", "is empty; name the operator who sends the request")
	}
}

// Plan plans a rollout, which then waits for confirmation.
func (s *Server) Plan(ctx context.Context, r *connect.Request[lentilferryv1.PlanRequest]) (*connect.Response[lentilferryv1.PlanResponse], error) {
	if err := requireIdentity(r.Msg.GetOperator(), r.Msg.GetOperation()); err != nil {
		return nil, err
	}
	planned, err := s.node.Operations().Plan(ctx, rollout.Intent{
		Service:   config.ServiceName(r.Msg.GetService()),
		Version:   config.VersionName(r.Msg.GetVersion()),
		Share:     config.Share(r.Msg.GetShare()),
		Deadline:  time.Unix(0, r.Msg.GetDeadlineUnixNanos()),
		Operator:  r.Msg.GetOperator(),
		Operation: r.Msg.GetOperation(),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilferryv1.PlanResponse{Rollout: wire.EncodeRollout(planned)}), nil
}

// Confirm starts a planned rollout.
func (s *Server) Confirm(ctx context.Context, r *connect.Request[lentilferryv1.ConfirmRequest]) (*connect.Response[lentilferryv1.ConfirmResponse], error) {
	changed, err := s.applyAction(ctx, r.Msg, s.node.Operations().Confirm)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&lentilferryv1.ConfirmResponse{Rollout: changed}), nil
}

// Reject ends a planned rollout.
func (s *Server) Reject(ctx context.Context, r *connect.Request[lentilferryv1.RejectRequest]) (*connect.Response[lentilferryv1.RejectResponse], error) {
	changed, err := s.applyAction(ctx, r.Msg, s.node.Operations().Reject)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&lentilferryv1.RejectResponse{Rollout: changed}), nil
}

// Rollback starts to roll a running rollout back.
func (s *Server) Rollback(ctx context.Context, r *connect.Request[lentilferryv1.RollbackRequest]) (*connect.Response[lentilferryv1.RollbackResponse], error) {
	changed, err := s.applyAction(ctx, r.Msg, s.node.Operations().Rollback)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&lentilferryv1.RollbackResponse{Rollout: changed}), nil
}

// actionRequest is a request for a transition of a rollout.
type actionRequest interface {
	GetId() string
	GetOperator() string
	GetOperation() string
}

// applyAction carries out an action with the given operation and returns the
// rollout after it.
func (s *Server) applyAction(
	ctx context.Context,
	m actionRequest,
	operation func(context.Context, control.Action) (rollout.Rollout, error),
) (*lentilferryv1.Rollout, error) {
	if err := requireIdentity(m.GetOperator(), m.GetOperation()); err != nil {
		return nil, err
	}
	changed, err := operation(ctx, control.Action{ID: m.GetId(), Operator: m.GetOperator(), Operation: m.GetOperation()})
	if err != nil {
		return nil, toConnectError(err)
	}
	return wire.EncodeRollout(changed), nil
}

// Status returns the revision in force, the members that lag behind the newest
// revision, and the rollouts. If reading the rollouts fails, the response
// carries the error and those that were read.
func (s *Server) Status(ctx context.Context, r *connect.Request[lentilferryv1.StatusRequest]) (*connect.Response[lentilferryv1.StatusResponse], error) {
	inForce := s.node.InForce(ctx, s.now())
	refusal := s.node.Holder().Refusal()
	response := &lentilferryv1.StatusResponse{
		Revision:        s.node.Holder().Number(),
		InForce:         inForce.Revision,
		RefusedReason:   refusal.Reason,
		RefusedRevision: refusal.Number,
	}
	for _, m := range inForce.Lagging {
		response.HeldBack = append(response.HeldBack, &lentilferryv1.HeldBack{Node: string(m.ID), Zone: string(m.Zone), Revision: m.Revision})
	}
	for _, zone := range inForce.ExcludedZones {
		response.LeftOutZones = append(response.LeftOutZones, string(zone))
	}
	rollouts, err := s.node.Operations().Rollouts(ctx)
	if err != nil {
		response.Platform = err.Error()
	}
	for _, item := range rollouts {
		if r.Msg.GetService() == "" || string(item.Service) == r.Msg.GetService() {
			response.Rollouts = append(response.Rollouts, wire.EncodeRollout(item))
		}
	}
	return connect.NewResponse(response), nil
}

// ApplyConfig checks a configuration document and commits it, unless it is a
// dry run.
func (s *Server) ApplyConfig(ctx context.Context, r *connect.Request[lentilferryv1.ApplyConfigRequest]) (*connect.Response[lentilferryv1.ApplyConfigResponse], error) {
	if err := requireIdentity(r.Msg.GetOperator(), r.Msg.GetOperation()); err != nil {
		return nil, err
	}
	applied, err := s.node.Operations().Apply(ctx, r.Msg.GetDocument(), r.Msg.GetOperator(), r.Msg.GetOperation(), r.Msg.GetDryRun())
	if err != nil {
		return nil, toConnectError(err)
	}
	response := &lentilferryv1.ApplyConfigResponse{Revision: applied.Revision}
	for _, c := range applied.Changes {
		response.Changes = append(response.Changes, &lentilferryv1.ConfigChange{
			Kind: c.Key.Kind.String(), Name: c.Key.Name, Change: string(c.Kind),
		})
	}
	return connect.NewResponse(response), nil
}

// GetConfig returns the configuration that this node has applied.
func (s *Server) GetConfig(context.Context, *connect.Request[lentilferryv1.GetConfigRequest]) (*connect.Response[lentilferryv1.GetConfigResponse], error) {
	current := s.node.Holder().Current()
	if current == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the node has no configuration yet; apply one with 'lentilferry config apply'"))
	}
	document, err := s.format(current)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&lentilferryv1.GetConfigResponse{Revision: current.Manifest.Number, Document: document}), nil
}

// format returns the document of a revision. Formatting a large one takes most of a
// second, so the newest is kept.
func (s *Server) format(r *revision.Snapshot) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.formatted != r {
		document, err := config.FormatYAML(r.Config)
		if err != nil {
			return nil, err //nolint:wrapcheck // It names the document.
		}
		s.formatted, s.document = r, document
	}
	return s.document, nil
}

// Members returns the members and zones that this node knows.
func (s *Server) Members(context.Context, *connect.Request[lentilferryv1.MembersRequest]) (*connect.Response[lentilferryv1.MembersResponse], error) {
	table := s.node.Members()
	response := &lentilferryv1.MembersResponse{
		Self:    string(table.Self().ID),
		Members: wire.EncodeMembers(table.Members()),
	}
	for _, d := range table.Digests(s.now()) {
		response.Zones = append(response.Zones, &lentilferryv1.ZoneStatus{Zone: string(d.Zone), AgeMillis: uint64(max(0, d.Age.Milliseconds()))})
	}
	return connect.NewResponse(response), nil
}
