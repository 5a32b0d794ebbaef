package wire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/rollout"
)

// _rolloutStates maps rollout states to their enum values in messages.
var _rolloutStates = map[rollout.State]lentilferryv1.RolloutState{
	rollout.Planned:     lentilferryv1.RolloutState_ROLLOUT_STATE_PLANNED,
	rollout.Running:     lentilferryv1.RolloutState_ROLLOUT_STATE_RUNNING,
	rollout.RollingBack: lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLING_BACK,
	rollout.Complete:    lentilferryv1.RolloutState_ROLLOUT_STATE_COMPLETE,
	rollout.RolledBack:  lentilferryv1.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
	rollout.Rejected:    lentilferryv1.RolloutState_ROLLOUT_STATE_REJECTED,
	rollout.Expired:     lentilferryv1.RolloutState_ROLLOUT_STATE_EXPIRED,
}

// decodeRolloutState returns the state of an enum value; empty if unknown.
func decodeRolloutState(message lentilferryv1.RolloutState) rollout.State {
	for state, messageState := range _rolloutStates {
		if messageState == message {
			return state
		}
	}
	return ""
}

// toUnixNanos returns t in Unix nanoseconds, 0 for the zero time.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNanos returns the time of n Unix nanoseconds, the zero time for 0.
func fromUnixNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// EncodeRollout maps a rollout to its message.
func EncodeRollout(r rollout.Rollout) *lentilferryv1.Rollout {
	message := &lentilferryv1.Rollout{
		Id:                    r.ID,
		Service:               string(r.Service),
		Baseline:              string(r.Baseline),
		Candidate:             string(r.Candidate),
		FromShare:             uint32(r.FromShare),
		TargetShare:           uint32(r.TargetShare),
		DeadlineUnixNanos:     toUnixNanos(r.Deadline),
		PlannedUnixNanos:      toUnixNanos(r.PlannedAt),
		ExpiresUnixNanos:      toUnixNanos(r.ExpiresAt),
		FinishUnixNanos:       toUnixNanos(r.FinishAt),
		BaseRevision:          r.BaseRevision,
		State:                 _rolloutStates[r.State],
		Stage:                 uint32(r.Stage),
		StageRevision:         r.StageRevision,
		FinishRevision:        r.FinishRevision,
		StageInForceUnixNanos: toUnixNanos(r.StageInForceAt),
		StageStartCalls:       r.StageStartCalls,
		Epoch:                 r.Epoch,
		Operator:              r.Operator,
		LastOperation:         r.LastOperation,
		ConfirmOperation:      r.ConfirmOperation,
		Reason:                r.Reason,
		WaitingFor:            r.WaitingFor,
		CandidateCalls:        r.CandidateCalls,
		CandidateFailures:     r.CandidateFailures,
		BaselineCalls:         r.BaselineCalls,
	}
	for _, s := range r.Stages {
		message.Stages = append(message.Stages, &lentilferryv1.Stage{Share: uint32(s.Share), DwellNanos: int64(s.Dwell)})
	}
	for _, z := range r.Capacity {
		message.Capacity = append(message.Capacity, &lentilferryv1.ZoneCapacity{
			Zone:               string(z.Zone),
			BaselineUpstreams:  uint32(z.BaselineUpstreams),
			CandidateUpstreams: uint32(z.CandidateUpstreams),
			BaselineSlots:      uint32(z.BaselineSlots),
			CandidateSlots:     uint32(z.CandidateSlots),
		})
	}
	for _, e := range r.Events {
		message.Events = append(message.Events, &lentilferryv1.RolloutEvent{AtUnixNanos: toUnixNanos(e.At), Text: e.Text})
	}
	for _, h := range r.History {
		message.History = append(message.History, &lentilferryv1.RolloutSummary{
			Id:             h.ID,
			Candidate:      string(h.Candidate),
			State:          _rolloutStates[h.State],
			EndedUnixNanos: toUnixNanos(h.EndedAt),
			Reason:         h.Reason,
		})
	}
	return message
}

// DecodeRollout maps a message to its rollout. It returns ErrMalformed if the
// message has no ID, no stages, an unknown state or a stage out of range.
func DecodeRollout(message *lentilferryv1.Rollout) (rollout.Rollout, error) {
	r := rollout.Rollout{
		ID:                message.GetId(),
		Service:           config.ServiceName(message.GetService()),
		Baseline:          config.VersionName(message.GetBaseline()),
		Candidate:         config.VersionName(message.GetCandidate()),
		FromShare:         config.Share(message.GetFromShare()),
		TargetShare:       config.Share(message.GetTargetShare()),
		Deadline:          fromUnixNanos(message.GetDeadlineUnixNanos()),
		PlannedAt:         fromUnixNanos(message.GetPlannedUnixNanos()),
		ExpiresAt:         fromUnixNanos(message.GetExpiresUnixNanos()),
		FinishAt:          fromUnixNanos(message.GetFinishUnixNanos()),
		BaseRevision:      message.GetBaseRevision(),
		State:             decodeRolloutState(message.GetState()),
		Stage:             int(message.GetStage()),
		StageRevision:     message.GetStageRevision(),
		FinishRevision:    message.GetFinishRevision(),
		StageInForceAt:    fromUnixNanos(message.GetStageInForceUnixNanos()),
		StageStartCalls:   message.GetStageStartCalls(),
		Epoch:             message.GetEpoch(),
		Operator:          message.GetOperator(),
		LastOperation:     message.GetLastOperation(),
		ConfirmOperation:  message.GetConfirmOperation(),
		Reason:            message.GetReason(),
		WaitingFor:        message.GetWaitingFor(),
		CandidateCalls:    message.GetCandidateCalls(),
		CandidateFailures: message.GetCandidateFailures(),
		BaselineCalls:     message.GetBaselineCalls(),
	}
	for _, s := range message.GetStages() {
		r.Stages = append(r.Stages, rollout.Stage{Share: config.Share(s.GetShare()), Dwell: time.Duration(s.GetDwellNanos())})
	}
	for _, z := range message.GetCapacity() {
		r.Capacity = append(r.Capacity, rollout.ZoneCapacity{
			Zone:               membership.Zone(z.GetZone()),
			BaselineUpstreams:  int(z.GetBaselineUpstreams()),
			CandidateUpstreams: int(z.GetCandidateUpstreams()),
			BaselineSlots:      int(z.GetBaselineSlots()),
			CandidateSlots:     int(z.GetCandidateSlots()),
		})
	}
	for _, e := range message.GetEvents() {
		r.Events = append(r.Events, rollout.Event{At: fromUnixNanos(e.GetAtUnixNanos()), Text: e.GetText()})
	}
	for _, h := range message.GetHistory() {
		r.History = append(r.History, rollout.Summary{
			ID:        h.GetId(),
			Candidate: config.VersionName(h.GetCandidate()),
			State:     decodeRolloutState(h.GetState()),
			EndedAt:   fromUnixNanos(h.GetEndedUnixNanos()),
			Reason:    h.GetReason(),
		})
	}
	if r.ID == "" || r.State == "" || len(r.Stages) == 0 || r.Stage >= len(r.Stages) {
		return rollout.Rollout{}, errors.Wrapf(ErrMalformed, "rollout %q of service %q lacks a field or has an invalid one", r.ID, r.Service)
	}
	return r, nil
}

// MarshalRollout returns the stored form of a rollout.
func MarshalRollout(r rollout.Rollout) ([]byte, error) {
	value, err := proto.Marshal(EncodeRollout(r))
	return value, errors.Wrapf(err, "encode rollout %s", r.ID)
}

// UnmarshalRollout returns the rollout with the given stored form. Its error is
// ErrMalformed.
func UnmarshalRollout(value []byte) (rollout.Rollout, error) {
	var message lentilferryv1.Rollout
	if err := proto.Unmarshal(value, &message); err != nil {
		return rollout.Rollout{}, errors.Mark(errors.Wrap(err, "rollout"), ErrMalformed)
	}
	return DecodeRollout(&message)
}
