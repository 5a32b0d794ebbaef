// Package rollout shifts a service's traffic from one upstream version to
// another as a canary release: it plans stages, waits for the operator's
// confirmation, raises the candidate's share stage by stage, and rolls a bad
// candidate back. It does no I/O.
package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

// State is the state of a rollout.
type State string

// The states of a rollout.
const (
	// Planned means that the operator has to confirm or reject the plan.
	Planned State = "planned"
	// Running means that the candidate's share is being raised.
	Running State = "running"
	// RollingBack means that all traffic is being returned to the baseline.
	RollingBack State = "rollingBack"
	// Complete means that the target share is in force everywhere.
	Complete State = "complete"
	// RolledBack means that the candidate no longer has traffic anywhere.
	RolledBack State = "rolledBack"
	// Rejected means that the operator rejected the plan.
	Rejected State = "rejected"
	// Expired means that the plan was not confirmed in time.
	Expired State = "expired"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	switch s {
	case Complete, RolledBack, Rejected, Expired:
		return true
	default:
		return false
	}
}

// The events of the state machine.
const (
	_eventConfirm        = "confirm"
	_eventReject         = "reject"
	_eventExpire         = "expire"
	_eventStartRollback  = "condemn"
	_eventComplete       = "finish"
	_eventFinishRollback = "restore"
)

// _refusalTexts complete the error message for an event that the current state
// doesn't allow: "rollout X is STATE and can't be ...".
var _refusalTexts = map[string]string{
	_eventConfirm:        "confirmed",
	_eventReject:         "rejected; a running one can be rolled back",
	_eventExpire:         "expired",
	_eventStartRollback:  "rolled back; a planned one can be rejected",
	_eventComplete:       "completed",
	_eventFinishRollback: "restored",
}

var _transitions = fsm.Events{
	{Name: _eventConfirm, Src: []string{string(Planned)}, Dst: string(Running)},
	{Name: _eventReject, Src: []string{string(Planned)}, Dst: string(Rejected)},
	{Name: _eventExpire, Src: []string{string(Planned)}, Dst: string(Expired)},
	{Name: _eventStartRollback, Src: []string{string(Running)}, Dst: string(RollingBack)},
	{Name: _eventComplete, Src: []string{string(Running)}, Dst: string(Complete)},
	{Name: _eventFinishRollback, Src: []string{string(RollingBack)}, Dst: string(RolledBack)},
}

// Stage is one increase of the candidate's share.
type Stage struct {
	// Share is the candidate's share during the stage.
	Share config.Share
	// Dwell is how long the stage is observed once it is in force everywhere.
	Dwell time.Duration
}

// ZoneCapacity holds a zone's upstreams and slots for both versions.
type ZoneCapacity struct {
	Zone               membership.Zone
	BaselineUpstreams  int
	CandidateUpstreams int
	BaselineSlots      int
	CandidateSlots     int
}

// Event is an entry of a rollout's event log.
type Event struct {
	At   time.Time
	Text string
}

// Summary is the history entry of an ended rollout.
type Summary struct {
	ID        string
	Candidate config.VersionName
	State     State
	EndedAt   time.Time
	Reason    string
}

const (
	// _maxEvents is the maximum length of a rollout's event log.
	_maxEvents = 64
	// _maxHistory is the maximum number of a service's earlier rollouts that
	// are kept.
	_maxHistory = 20
)

// Rollout is one shift of a service's traffic from Baseline to Candidate. Its
// state changes only through its methods.
type Rollout struct {
	ID        string
	Service   config.ServiceName
	Baseline  config.VersionName
	Candidate config.VersionName
	// FromShare is the candidate's share before the rollout.
	FromShare config.Share
	// TargetShare is the share at the end, above FromShare.
	TargetShare config.Share
	Deadline    time.Time
	PlannedAt   time.Time
	// ExpiresAt is when the plan can no longer be confirmed.
	ExpiresAt time.Time
	// FinishAt is the estimated end of the rollout if nothing delays it.
	FinishAt time.Time
	// BaseRevision is the revision that the plan was computed from.
	BaseRevision uint64
	// Stages have rising shares, up to TargetShare or just below it. They are
	// never empty.
	Stages   []Stage
	Capacity []ZoneCapacity
	State    State
	// Stage is the index of the current stage.
	Stage int
	// StageRevision is the revision that contains the stage's shares; 0 until
	// they are committed.
	StageRevision uint64
	// FinishRevision is the revision that contains TargetShare; 0 until it is
	// committed.
	FinishRevision uint64
	// StageInForceAt is when the stage came into force everywhere; zero until
	// then.
	StageInForceAt time.Time
	// StageStartCalls is the value of CandidateCalls at StageInForceAt.
	StageStartCalls uint64
	// Epoch is the epoch of the lease under which a controller last wrote the
	// rollout. It fences off controllers of earlier epochs.
	Epoch uint64
	// Operator is who last planned, confirmed or rejected the rollout.
	Operator string
	// LastOperation is the operation ID of the last transition.
	LastOperation string
	// ConfirmOperation is the operation ID of the operator's confirmation.
	ConfirmOperation string
	// Reason is why the rollout ended or is being rolled back.
	Reason string
	// WaitingFor describes what the next transition waits for.
	WaitingFor        string
	CandidateCalls    uint64
	CandidateFailures uint64
	BaselineCalls     uint64
	Events            []Event
	History           []Summary
}

// Errors of planning and of transitions.
var (
	// ErrState means that the current state doesn't allow the transition.
	ErrState = errors.New("the rollout is in another state")
	// ErrOutdated means that the plan expired or that its inputs have changed.
	ErrOutdated = errors.New("the plan is outdated")
	// ErrEpoch means that a controller with a later lease epoch has taken over.
	ErrEpoch = errors.New("another controller has taken over")
	// ErrInfeasible means that no plan can satisfy the intent.
	ErrInfeasible = errors.New("the intent can't be met")
)

// fire applies an event to the state machine and adds text to the event log.
// The error is ErrState.
func (r *Rollout) fire(now time.Time, event, text string) error {
	machine := fsm.NewFSM(string(r.State), _transitions, fsm.Callbacks{})
	if err := machine.Event(context.Background(), event); err != nil {
		return errors.Wrapf(ErrState, "rollout %s is %s and can't be %s", r.ID, r.State, _refusalTexts[event])
	}
	r.State = State(machine.Current())
	r.addEvent(now, text)
	return nil
}

// addEvent appends to the event log and drops the oldest entries beyond
// _maxEvents.
func (r *Rollout) addEvent(now time.Time, text string) {
	r.Events = append(r.Events, Event{At: now, Text: text})
	if extra := len(r.Events) - _maxEvents; extra > 0 {
		r.Events = append([]Event(nil), r.Events[extra:]...)
	}
}

// Confirm starts a planned rollout. Current is the service in the current
// configuration; the plan must still fit it. The error is ErrState or
// ErrOutdated.
func (r *Rollout) Confirm(now time.Time, operator, operation string, current config.Service) error {
	if r.State == Planned && !now.Before(r.ExpiresAt) {
		return errors.Wrapf(ErrOutdated, "plan %s expired at %s; plan again", r.ID, r.ExpiresAt.Format(time.RFC3339))
	}
	if r.State == Planned && current.Rollout.ID != "" {
		return errors.Wrapf(ErrOutdated, "%s is being moved by rollout %s; plan %s again after its end", r.Service, current.Rollout.ID, r.ID)
	}
	if r.State == Planned && !slices.Equal(current.Weights, config.Split(r.Baseline, r.Candidate, r.FromShare)) {
		return errors.Wrapf(ErrOutdated, "the shares of %s have changed since plan %s; plan again", r.Service, r.ID)
	}
	if r.State == Planned && now.Add(r.plannedDuration()).After(r.Deadline) {
		return errors.Wrapf(ErrOutdated, "plan %s can no longer be completed by %s; plan again with a later deadline", r.ID, r.Deadline.Format(time.RFC3339))
	}
	if err := r.fire(now, _eventConfirm, "confirmed by "+operator); err != nil {
		return err
	}
	r.Operator = operator
	r.LastOperation = operation
	r.ConfirmOperation = operation
	r.FinishAt = now.Add(r.plannedDuration())
	return nil
}

// plannedDuration returns the sum of the stages' dwells.
func (r *Rollout) plannedDuration() time.Duration {
	var total time.Duration
	for _, s := range r.Stages {
		total += s.Dwell
	}
	return total
}

// Reject ends a planned rollout. The error is ErrState.
func (r *Rollout) Reject(now time.Time, operator, operation string) error {
	if err := r.fire(now, _eventReject, "rejected by "+operator); err != nil {
		return err
	}
	r.Operator = operator
	r.LastOperation = operation
	r.Reason = "rejected by " + operator
	return nil
}

// Expire ends a plan that was not confirmed in time. The error is ErrState.
func (r *Rollout) Expire(now time.Time) error {
	r.Reason = "not confirmed in time"
	return r.fire(now, _eventExpire, r.Reason)
}

// StartRollback begins to roll a running rollout back. The error is ErrState.
func (r *Rollout) StartRollback(now time.Time, reason, operation string) error {
	if err := r.fire(now, _eventStartRollback, "rolling back: "+reason); err != nil {
		return err
	}
	r.Reason = reason
	r.LastOperation = operation
	r.StageRevision = 0
	r.FinishRevision = 0
	r.StageInForceAt = time.Time{}
	r.WaitingFor = ""
	return nil
}

// Share returns the share that the candidate should have in the current state.
func (r *Rollout) Share() config.Share {
	switch {
	case r.State == Complete, r.State == Running && r.FinishRevision != 0:
		return r.TargetShare
	case r.State == Running:
		return r.Stages[r.Stage].Share
	case r.State == RollingBack, r.State == RolledBack:
		return 0
	default:
		return r.FromShare
	}
}

// Summary returns the history entry of the rollout.
func (r *Rollout) Summary() Summary {
	ended := r.PlannedAt
	if len(r.Events) > 0 {
		ended = r.Events[len(r.Events)-1].At
	}
	return Summary{ID: r.ID, Candidate: r.Candidate, State: r.State, EndedAt: ended, Reason: r.Reason}
}

// InheritHistory takes over the predecessor's history and adds the predecessor
// to it, limited to the newest _maxHistory entries.
func (r *Rollout) InheritHistory(predecessor Rollout) {
	r.History = append(append([]Summary(nil), predecessor.History...), predecessor.Summary())
	if extra := len(r.History) - _maxHistory; extra > 0 {
		r.History = r.History[extra:]
	}
}
