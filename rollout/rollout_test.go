package rollout

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
)

var _start = time.Unix(1_800_000_000, 0)

func newPlanInputs(weights []config.Weight) PlanInputs {
	return PlanInputs{
		Revision: 3,
		Config: config.Config{
			Services: []config.Service{{Name: "s", Weights: weights}},
			Versions: []config.Version{{Service: "s", Name: "v1"}, {Service: "s", Name: "v2"}, {Service: "s", Name: "v3"}},
			Policies: []config.Policy{{
				Service: "s", Stages: []config.Share{100, 1000, config.FullShare},
				MinDwell: 10 * time.Second, MinStageCalls: 5, ConvergenceAllowance: 5 * time.Second,
			}},
		},
		Capacity: []ZoneCapacity{{Zone: "a", BaselineSlots: 10, CandidateSlots: 4}},
	}
}

func newIntent() Intent {
	return Intent{Service: "s", Version: "v2", Share: config.FullShare, Deadline: _start.Add(10 * time.Minute), Operator: "ann", Operation: "o"}
}

// A plan's stages rise to the requested share, or to 98%, and end by the
// deadline. An intent that can't be met is refused with the reason.
func TestNew(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights []config.Weight
		change  func(*Intent, *PlanInputs)
		shares  []config.Share
		refusal string
	}{
		{name: "full share", change: func(_ *Intent, p *PlanInputs) { p.Capacity[0].CandidateSlots = 5 }, shares: []config.Share{100, 1000, 9800}},
		{name: "partial share", change: func(i *Intent, _ *PlanInputs) { i.Share = 2000 }, shares: []config.Share{100, 1000, 2000}},
		{name: "share below the first stage", change: func(i *Intent, _ *PlanInputs) { i.Share = 50 }, shares: []config.Share{50}},
		{name: "candidate has a share", weights: config.Split("v1", "v2", 500), change: func(i *Intent, _ *PlanInputs) { i.Share = 4000 }, shares: []config.Share{1000, 4000}},
		{name: "zero share", change: func(i *Intent, _ *PlanInputs) { i.Share = 0 }, refusal: "share: 0% is out of range"},
		{name: "share already reached", weights: config.Split("v1", "v2", 500), change: func(i *Intent, _ *PlanInputs) { i.Share = 400 }, refusal: "v2 has 5% of s already"},
		{name: "split between other versions", weights: []config.Weight{{Version: "v1", Share: 5000}, {Version: "v3", Share: 5000}}, change: func(*Intent, *PlanInputs) {}, refusal: "s is split between 2 versions"},
		{name: "unknown service", change: func(i *Intent, _ *PlanInputs) { i.Service = "x" }, refusal: `service: "x" does not exist`},
		{name: "unknown version", change: func(i *Intent, _ *PlanInputs) { i.Version = "v9" }, refusal: `version: "v9" is not a version of s`},
		{name: "rollout under way", change: func(_ *Intent, p *PlanInputs) { p.Config.Services[0].Rollout.ID = "s.1" }, refusal: "is being moved by rollout s.1"},
		{name: "no candidate upstream", change: func(_ *Intent, p *PlanInputs) { p.Capacity = nil }, refusal: "no upstream of s v2 accepts calls"},
		{name: "too few candidate slots", change: func(*Intent, *PlanInputs) {}, refusal: "ask for 80% or less"},
		{name: "deadline too early", change: func(i *Intent, p *PlanInputs) {
			p.Capacity[0].CandidateSlots = 5
			i.Deadline = _start.Add(40 * time.Second)
		}, refusal: "need 50s; the earliest deadline is"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.weights == nil {
				test.weights = config.Split("v1", "v2", 0)
			}
			i, p := newIntent(), newPlanInputs(test.weights)
			test.change(&i, &p)
			r, err := New(_start, "s.1", i, p)
			if test.refusal != "" {
				assert.Assert(t, errors.Is(err, ErrInfeasible))
				assert.ErrorContains(t, err, test.refusal)
				return
			}
			assert.NilError(t, err)
			var shares []config.Share
			for _, s := range r.Stages {
				shares = append(shares, s.Share)
				assert.Assert(t, s.Dwell >= 10*time.Second)
			}
			assert.DeepEqual(t, shares, test.shares)
			assert.Assert(t, !r.FinishAt.After(r.Deadline))
		})
	}
}

func newRunningRollout(t *testing.T) Rollout {
	p := newPlanInputs(config.Split("v1", "v2", 0))
	p.Capacity[0].CandidateSlots = 10
	r, err := New(_start, "s.1", newIntent(), p)
	assert.NilError(t, err)
	assert.NilError(t, r.Confirm(_start, "ann", "c", p.Config.Services[0]))
	return r
}

// A stage ends only once it is in force, was observed for its dwell and had
// enough calls, no zone has quarantined the candidate, and all zones have
// current evidence. WaitingFor names these conditions in that order.
func TestDecide(t *testing.T) {
	r := newRunningRollout(t)
	in := Inputs{Epoch: 2, Policy: newPlanInputs(nil).Config.Policies[0]}
	now := _start
	decide := func(kind DecisionKind, waitingFor string) {
		t.Helper()
		d, err := r.Decide(now, in)
		assert.NilError(t, err)
		assert.Equal(t, d.Kind, kind, r.WaitingFor)
		if waitingFor != "" {
			assert.Assert(t, len(r.WaitingFor) >= len(waitingFor) && r.WaitingFor[:len(waitingFor)] == waitingFor, r.WaitingFor)
		}
	}
	decide(Commit, "")
	assert.NilError(t, r.RecordCommit(now, 7))
	in.InForce = 6
	decide(Wait, "revision 7 to be in force")
	in.InForce = 7
	decide(Save, "")
	decide(Wait, "1% to be observed")
	now = now.Add(3 * time.Minute)
	decide(Wait, "5 calls at 1%; 0 seen")
	in.Verdict.CandidateCalls = 9
	in.Quarantine = "a: too many failures"
	decide(Wait, "a decision, since a zone has taken v2 out")
	in.Quarantine = ""
	in.StaleZones = append(in.StaleZones, "b")
	decide(Wait, "current evidence from b")
	in.StaleZones = nil
	decide(Save, "")
	assert.Equal(t, r.Share(), config.Share(1000))
	assert.Equal(t, r.StageRevision, uint64(0))

	// A controller of an earlier epoch may not decide.
	in.Epoch = 1
	_, err := r.Decide(now, in)
	assert.Assert(t, errors.Is(err, ErrEpoch))

	in.Epoch = 2
	in.Verdict = evidence.Verdict{Bad: true, Reason: "too many failures"}
	decide(Save, "")
	assert.Equal(t, r.State, RollingBack)
	assert.Equal(t, r.Share(), config.Share(0))
	assert.DeepEqual(t, r.ServiceAfterCommit(config.Service{Name: "s"}).Weights, config.Split("v1", "v2", 0))
}

// A late rollout shortens its stages, but not below the policy's MinDwell.
func TestLateRolloutCatchesUp(t *testing.T) {
	r := newRunningRollout(t)
	policy := newPlanInputs(nil).Config.Policies[0]
	planned := r.Stages[0].Dwell
	assert.Equal(t, r.dwell(_start, policy), planned)
	late := r.dwell(r.Deadline.Add(-2*time.Minute), policy)
	assert.Assert(t, late < planned && late >= policy.MinDwell, "%s", late)
	assert.Equal(t, r.dwell(r.Deadline.Add(time.Hour), policy), policy.MinDwell)
}

// Transitions that the state doesn't allow are refused with a hint for the
// operator, and the history and the event log are bounded.
func TestRefusedTransitionsAndBounds(t *testing.T) {
	p := newPlanInputs(config.Split("v1", "v2", 0))
	r := newRunningRollout(t)
	assert.ErrorContains(t, r.Reject(_start, "bob", "r"), "is running and can't be rejected; a running one can be rolled back")
	assert.ErrorContains(t, r.Confirm(_start, "bob", "c2", p.Config.Services[0]), "can't be confirmed")
	assert.NilError(t, r.StartRollback(_start, "why", "x"))
	assert.ErrorContains(t, r.StartRollback(_start, "again", "y"), "is rollingBack")
	var history Rollout
	for range _maxHistory + 5 {
		history.InheritHistory(Rollout{ID: "old", History: history.History})
	}
	assert.Equal(t, len(history.History), _maxHistory)
	for range _maxEvents + 5 {
		history.addEvent(_start, "x")
	}
	assert.Equal(t, len(history.Events), _maxEvents)
}
