package rollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/membership"
)

// Inputs is what a controller knows when it decides on a rollout.
type Inputs struct {
	// Epoch is the epoch of the controller's lease.
	Epoch uint64
	// InForce is the revision that is in force everywhere. It is needed only
	// while AwaitsConvergence holds.
	InForce uint64
	// LaggingMembers names the zones or nodes whose older revision holds
	// InForce back, for the operator.
	LaggingMembers string
	// Verdict compares the candidate with the baseline.
	Verdict evidence.Verdict
	// StaleZones are the zones without current evidence.
	StaleZones []membership.Zone
	// Quarantine names a zone that has quarantined the candidate, and the
	// reason; empty when none has.
	Quarantine string
	// Policy is the service's rollout policy.
	Policy config.Policy
}

// DecisionKind is what a controller has to do next.
type DecisionKind int

// The kinds of decisions.
const (
	// Wait means that nothing can be done yet; Rollout.WaitingFor says why.
	Wait DecisionKind = iota + 1
	// Commit means that the controller must commit what ServiceAfterCommit
	// returns and then call RecordCommit.
	Commit
	// Save means that the rollout changed and must be stored.
	Save
)

// Decision is what a controller has to do next for a rollout.
type Decision struct {
	Kind DecisionKind
}

// AwaitsConvergence reports whether the next transition waits until a revision
// is in force everywhere.
func (r *Rollout) AwaitsConvergence() bool {
	switch r.State {
	case Running:
		return r.StageRevision != 0 && (r.StageInForceAt.IsZero() || r.FinishRevision != 0)
	case RollingBack:
		return r.StageRevision != 0
	default:
		return false
	}
}

// Decide makes the next transition that the inputs allow. The error is ErrEpoch
// when a controller with a later epoch has written the rollout.
func (r *Rollout) Decide(now time.Time, in Inputs) (Decision, error) {
	if in.Epoch < r.Epoch {
		return Decision{}, errors.Wrapf(ErrEpoch, "rollout %s was written in epoch %d", r.ID, r.Epoch)
	}
	r.Epoch = in.Epoch
	switch r.State {
	case Planned:
		return r.decidePlanned(now)
	case Running:
		return r.decideRunning(now, in)
	case RollingBack:
		return r.decideRollingBack(now, in)
	default:
		return Decision{Kind: Wait}, nil
	}
}

func (r *Rollout) decidePlanned(now time.Time) (Decision, error) {
	if now.Before(r.ExpiresAt) {
		return Decision{Kind: Wait}, nil
	}
	return Decision{Kind: Save}, r.Expire(now)
}

func (r *Rollout) decideRunning(now time.Time, in Inputs) (Decision, error) {
	r.updateCounts(in.Verdict)
	if in.Verdict.Bad {
		return Decision{Kind: Save}, r.StartRollback(now, in.Verdict.Reason, r.operationID("condemn"))
	}
	if r.StageRevision == 0 {
		return Decision{Kind: Commit}, nil
	}
	if r.AwaitsConvergence() && in.InForce < max(r.StageRevision, r.FinishRevision) {
		return r.wait("revision %d to be in force; held back by %s", max(r.StageRevision, r.FinishRevision), in.LaggingMembers)
	}
	if r.FinishRevision != 0 {
		return Decision{Kind: Save}, r.finish(now)
	}
	if r.StageInForceAt.IsZero() {
		r.StageInForceAt = now
		r.StageStartCalls = r.CandidateCalls
		r.addEvent(now, fmt.Sprintf("%g%% in force everywhere", r.Share().Percent()))
		return Decision{Kind: Save}, nil
	}
	return r.decideInForce(now, in)
}

// decideInForce decides on a running rollout whose current stage is in force.
// The rollout goes on once the stage was observed long enough and had enough
// calls, no zone has quarantined the candidate, and all zones have current
// evidence.
func (r *Rollout) decideInForce(now time.Time, in Inputs) (Decision, error) {
	end := r.StageInForceAt.Add(r.dwell(now, in.Policy))
	calls := r.CandidateCalls - r.StageStartCalls
	switch {
	case now.Before(end):
		return r.wait("%g%% to be observed until %s", r.Share().Percent(), end.Format(time.TimeOnly))
	case calls < in.Policy.MinStageCalls:
		return r.wait("%d calls at %g%%; %d seen", in.Policy.MinStageCalls, r.Share().Percent(), calls)
	case in.Quarantine != "":
		return r.wait("a decision, since a zone has taken %s out of its traffic (%s): mend that upstream or roll back", r.Candidate, in.Quarantine)
	case len(in.StaleZones) > 0:
		return r.wait("current evidence from %s", joinZones(in.StaleZones))
	case r.Stage == len(r.Stages)-1:
		return Decision{Kind: Commit}, nil
	}
	r.Stage++
	r.StageRevision = 0
	r.StageInForceAt = time.Time{}
	r.LastOperation = r.operationID(fmt.Sprintf("stage-%d", r.Stage))
	r.WaitingFor = ""
	r.addEvent(now, fmt.Sprintf("raising the share to %g%%", r.Share().Percent()))
	return Decision{Kind: Save}, nil
}

func (r *Rollout) finish(now time.Time) error {
	delay := ""
	if now.After(r.Deadline) {
		delay = fmt.Sprintf(", %s after the deadline", now.Sub(r.Deadline).Round(time.Second))
	}
	r.WaitingFor = ""
	r.LastOperation = r.operationID("finish")
	r.Reason = fmt.Sprintf("%s has %g%%%s", r.Candidate, r.TargetShare.Percent(), delay)
	return r.fire(now, _eventComplete, r.Reason)
}

// dwell returns how long the current stage is observed: as planned, or less
// when the rollout is late, but at least the policy's MinDwell.
func (r *Rollout) dwell(now time.Time, policy config.Policy) time.Duration {
	planned := r.Stages[r.Stage].Dwell
	stagesLeft := time.Duration(len(r.Stages) - r.Stage)
	perStage := r.Deadline.Sub(now)/stagesLeft - policy.ConvergenceAllowance
	if perStage >= planned {
		return planned
	}
	return max(policy.MinDwell, perStage)
}

func (r *Rollout) decideRollingBack(now time.Time, in Inputs) (Decision, error) {
	if r.StageRevision == 0 {
		return Decision{Kind: Commit}, nil
	}
	if in.InForce < r.StageRevision {
		return r.wait("revision %d to be in force; held back by %s", r.StageRevision, in.LaggingMembers)
	}
	r.WaitingFor = ""
	return Decision{Kind: Save}, r.fire(now, _eventFinishRollback, "rolled back everywhere")
}

// wait records what the rollout waits for.
func (r *Rollout) wait(format string, args ...any) (Decision, error) {
	r.WaitingFor = fmt.Sprintf(format, args...)
	return Decision{Kind: Wait}, nil
}

// updateCounts raises the call counts to those of the verdict. They never fall.
func (r *Rollout) updateCounts(v evidence.Verdict) {
	r.CandidateCalls = max(r.CandidateCalls, v.CandidateCalls)
	r.CandidateFailures = max(r.CandidateFailures, v.CandidateFailures)
	r.BaselineCalls = max(r.BaselineCalls, v.BaselineCalls)
}

func (r *Rollout) operationID(step string) string {
	return r.ID + "/" + step
}

func joinZones(zones []membership.Zone) string {
	names := make([]string, 0, len(zones))
	for _, z := range zones {
		names = append(names, string(z))
	}
	return strings.Join(names, ", ")
}

// CommitOperation returns the operation ID of the commit that Decide asked for.
func (r *Rollout) CommitOperation() string {
	switch {
	case r.State == RollingBack:
		return r.operationID("rollback")
	case r.StageRevision != 0:
		return r.operationID("finish")
	default:
		return r.operationID(fmt.Sprintf("commit-%d", r.Stage))
	}
}

// ServiceAfterCommit returns the service as it must be after the commit that
// Decide asked for.
func (r *Rollout) ServiceAfterCommit(current config.Service) config.Service {
	switch {
	case r.State == RollingBack:
		current.Weights = config.Split(r.Baseline, r.Candidate, 0)
		current.Rollout = config.RolloutRef{}
	case r.StageRevision != 0:
		current.Weights = config.Split(r.Baseline, r.Candidate, r.TargetShare)
		current.Rollout = config.RolloutRef{}
	default:
		current.Weights = config.Split(r.Baseline, r.Candidate, r.Share())
		current.Rollout = config.RolloutRef{ID: r.ID, Baseline: r.Baseline, Candidate: r.Candidate}
	}
	return current
}

// RecordCommit records the revision in which the commit that Decide asked for
// took effect. The error is ErrState.
func (r *Rollout) RecordCommit(now time.Time, revision uint64) error {
	switch {
	case r.State == Running && r.StageRevision != 0:
		r.FinishRevision = revision
	case r.State == Running || r.State == RollingBack:
		r.StageRevision = revision
	default:
		return errors.Wrapf(ErrState, "rollout %s is %s", r.ID, r.State)
	}
	r.WaitingFor = ""
	r.addEvent(now, fmt.Sprintf("%g%% committed as revision %d", r.Share().Percent(), revision))
	return nil
}
