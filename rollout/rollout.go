// Package rollout moves a service's traffic from one upstream version to
// another: it plans, asks the operator, raises the candidate's share
// stage by stage, and takes a bad version back. It does no I/O.
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

// State is a rollout's place in its lifecycle.
type State string

// The states of a rollout.
const (
	// Planned waits for the operator to confirm or reject.
	Planned State = "planned"
	// Running raises the candidate's share.
	Running State = "running"
	// RollingBack gives all traffic back to the baseline.
	RollingBack State = "rollingBack"
	// Complete means that the candidate has its target share.
	Complete State = "complete"
	// RolledBack means that the candidate has no traffic.
	RolledBack State = "rolledBack"
	// Rejected means that the operator said no.
	Rejected State = "rejected"
	// Expired means that the operator said nothing in time.
	Expired State = "expired"
)

// Ended reports whether nothing follows the state.
func (s State) Ended() bool {
	switch s {
	case Complete, RolledBack, Rejected, Expired:
		return true
	default:
		return false
	}
}

// The events of the lifecycle.
const (
	_eventConfirm        = "confirm"
	_eventReject         = "reject"
	_eventExpire         = "expire"
	_eventStartRollback  = "condemn"
	_eventComplete       = "finish"
	_eventFinishRollback = "restore"
)

// _refusalTexts name the events in refusals.
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

// Stage is one step of a rollout.
type Stage struct {
	// Share is the candidate's share.
	Share config.Share
	// Dwell is how long the stage is observed once it is in force.
	Dwell time.Duration
}

// ZoneCapacity is what a zone has of both versions.
type ZoneCapacity struct {
	Zone               membership.Zone
	BaselineUpstreams  int
	CandidateUpstreams int
	BaselineSlots      int
	CandidateSlots     int
}

// Event is an entry of a rollout's log.
type Event struct {
	At   time.Time
	Text string
}

// Summary is what is kept of an ended rollout.
type Summary struct {
	ID        string
	Candidate config.VersionName
	State     State
	EndedAt   time.Time
	Reason    string
}

const (
	// _maxEvents bounds a rollout's log.
	_maxEvents = 64
	// _maxHistory bounds what is kept of a service's earlier rollouts.
	_maxHistory = 20
)

// Rollout is one move of a service. Its methods are its only transitions.
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
	// FinishAt is when the plan is complete if nothing holds it up.
	FinishAt time.Time
	// BaseRevision is the revision that the plan was computed from.
	BaseRevision uint64
	// Stages rise to TargetShare, or to just under it; never empty.
	Stages   []Stage
	Capacity []ZoneCapacity
	State    State
	// Stage is the index of the current stage.
	Stage int
	// StageRevision is the revision that carries the stage's shares, 0 before
	// they are committed.
	StageRevision uint64
	// FinishRevision is the revision that carries TargetShare, 0 before it is
	// committed.
	FinishRevision uint64
	// StageInForceAt is zero until the stage is in force everywhere.
	StageInForceAt time.Time
	// StageStartCalls is CandidateCalls at StageInForceAt.
	StageStartCalls uint64
	// Epoch is that of the lease under which the rollout was last written.
	Epoch uint64
	// Operator confirmed, rejected or planned the rollout.
	Operator string
	// LastOperation identifies the last transition.
	LastOperation string
	// ConfirmOperation identifies the operator's confirmation.
	ConfirmOperation string
	// Reason says why the rollout ended, or is being rolled back.
	Reason string
	// WaitingFor says what the next transition waits for.
	WaitingFor        string
	CandidateCalls    uint64
	CandidateFailures uint64
	BaselineCalls     uint64
	Events            []Event
	History           []Summary
}

// Refusals of transitions.
var (
	// ErrState means that the rollout is in another state than is needed.
	ErrState = errors.New("the rollout is in another state")
	// ErrOutdated means that what the plan was computed from has changed.
	ErrOutdated = errors.New("the plan is outdated")
	// ErrEpoch means that another controller has taken over.
	ErrEpoch = errors.New("another controller has taken over")
	// ErrInfeasible means that the intent can't be met.
	ErrInfeasible = errors.New("the intent can't be met")
)

// fire makes a transition and logs it.
func (r *Rollout) fire(now time.Time, event, text string) error {
	machine := fsm.NewFSM(string(r.State), _transitions, fsm.Callbacks{})
	if err := machine.Event(context.Background(), event); err != nil {
		return errors.Wrapf(ErrState, "rollout %s is %s and can't be %s", r.ID, r.State, _refusalTexts[event])
	}
	r.State = State(machine.Current())
	r.addEvent(now, text)
	return nil
}

func (r *Rollout) addEvent(now time.Time, text string) {
	r.Events = append(r.Events, Event{At: now, Text: text})
	if extra := len(r.Events) - _maxEvents; extra > 0 {
		r.Events = append([]Event(nil), r.Events[extra:]...)
	}
}

// Confirm starts the rollout on the operator's confirmation. Current is the service
// as it stands in the configuration in force. The error is ErrState or
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
		return errors.Wrapf(ErrOutdated, "plan %s can no longer be done by %s; plan again with a later deadline", r.ID, r.Deadline.Format(time.RFC3339))
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

// plannedDuration is how long the stages take when nothing holds them up.
func (r *Rollout) plannedDuration() time.Duration {
	var total time.Duration
	for _, s := range r.Stages {
		total += s.Dwell
	}
	return total
}

// Reject ends a plan that the operator does not want. The error is ErrState.
func (r *Rollout) Reject(now time.Time, operator, operation string) error {
	if err := r.fire(now, _eventReject, "rejected by "+operator); err != nil {
		return err
	}
	r.Operator = operator
	r.LastOperation = operation
	r.Reason = "rejected by " + operator
	return nil
}

// Expire ends a plan that nobody confirmed. The error is ErrState.
func (r *Rollout) Expire(now time.Time) error {
	r.Reason = "not confirmed in time"
	return r.fire(now, _eventExpire, r.Reason)
}

// StartRollback begins to roll back. The error is ErrState.
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

// Share returns the share that the candidate is to have now.
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

// Summary returns what is kept of the rollout after its end.
func (r *Rollout) Summary() Summary {
	ended := r.PlannedAt
	if len(r.Events) > 0 {
		ended = r.Events[len(r.Events)-1].At
	}
	return Summary{ID: r.ID, Candidate: r.Candidate, State: r.State, EndedAt: ended, Reason: r.Reason}
}

// InheritHistory makes this plan the successor of the service's last rollout.
func (r *Rollout) InheritHistory(predecessor Rollout) {
	r.History = append(append([]Summary(nil), predecessor.History...), predecessor.Summary())
	if extra := len(r.History) - _maxHistory; extra > 0 {
		r.History = r.History[extra:]
	}
}
