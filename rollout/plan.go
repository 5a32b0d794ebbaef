package rollout

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// Intent is an operator's request to raise a version's share of a service.
type Intent struct {
	Service config.ServiceName
	// Version is the candidate that receives the share.
	Version config.VersionName
	// Share is the candidate's share at the end of the rollout.
	Share config.Share
	// Deadline is the time by which the candidate must have the share.
	Deadline time.Time
	Operator string
	// Operation identifies the request and makes it idempotent.
	Operation string
}

// PlanInputs is the state of the system that a plan is computed from.
type PlanInputs struct {
	// Revision is the revision number of Config.
	Revision uint64
	Config   config.Config
	Capacity []ZoneCapacity
}

const (
	// _planLifetime is how long a plan can be confirmed after it was made.
	_planLifetime = 15 * time.Minute
	// _dwellFraction is the fraction of the time to the deadline that the
	// stages use. The rest is a reserve for delays.
	_dwellFraction = 0.6
	// _dwellGranularity is the unit that the dwell of a stage is rounded down
	// to.
	_dwellGranularity = 100 * time.Millisecond
	// _maxDwell is the upper bound of the dwell of a stage.
	_maxDwell = 30 * time.Minute
)

// New plans a rollout with the given ID. The error is ErrInfeasible; its
// message names the reason and what would be feasible.
func New(now time.Time, id string, intent Intent, inputs PlanInputs) (Rollout, error) {
	service, ok := inputs.Config.Service(intent.Service)
	if !ok {
		return Rollout{}, errors.Wrapf(ErrInfeasible, "service: %q does not exist; see 'lentilferry config get'", intent.Service)
	}
	baseline, err := findBaseline(service, intent, inputs.Config)
	if err != nil {
		return Rollout{}, err
	}
	if err := checkCapacity(intent, inputs.Capacity); err != nil {
		return Rollout{}, err
	}
	from := service.ShareOf(intent.Version)
	stages, err := planStages(now, intent, from, inputs.Config.Policy(intent.Service))
	if err != nil {
		return Rollout{}, err
	}
	r := Rollout{
		ID:            id,
		Service:       intent.Service,
		Baseline:      baseline,
		Candidate:     intent.Version,
		FromShare:     from,
		TargetShare:   intent.Share,
		Deadline:      intent.Deadline,
		PlannedAt:     now,
		ExpiresAt:     now.Add(_planLifetime),
		BaseRevision:  inputs.Revision,
		Stages:        stages,
		Capacity:      inputs.Capacity,
		State:         Planned,
		Operator:      intent.Operator,
		LastOperation: intent.Operation,
	}
	r.FinishAt = now.Add(r.plannedDuration())
	r.addEvent(now, "planned by "+intent.Operator)
	return r, nil
}

// findBaseline checks that the intent fits the configuration, and returns the
// version that gives up its share. The error is ErrInfeasible.
func findBaseline(service config.Service, intent Intent, c config.Config) (config.VersionName, error) {
	switch {
	case !c.HasVersion(service.Name, intent.Version):
		return "", errors.Wrapf(ErrInfeasible, "version: %q is not a version of %s; add it to versions and apply", intent.Version, service.Name)
	case service.Rollout.ID != "":
		return "", errors.Wrapf(ErrInfeasible, "service: %s is being moved by rollout %s; wait for its end or roll it back", service.Name, service.Rollout.ID)
	case intent.Share == 0 || intent.Share > config.FullShare:
		return "", errors.Wrapf(ErrInfeasible, "share: %g%% is out of range; use more than 0 and at most 100", intent.Share.Percent())
	}
	from := service.ShareOf(intent.Version)
	if intent.Share <= from {
		return "", errors.Wrapf(ErrInfeasible, "share: %s has %g%% of %s already; ask for more, or move another version up", intent.Version, from.Percent(), service.Name)
	}
	return soleOtherVersion(service, intent.Version)
}

// soleOtherVersion returns the only version besides the candidate that has a
// share of the service. The error is ErrInfeasible when there is not exactly
// one.
func soleOtherVersion(service config.Service, candidate config.VersionName) (config.VersionName, error) {
	var others []config.VersionName
	for _, w := range service.Weights {
		if w.Version != candidate {
			others = append(others, w.Version)
		}
	}
	if len(others) != 1 {
		return "", errors.Wrapf(ErrInfeasible, "version: %s is split between %d versions; move one of them to 100%% first", service.Name, len(service.Weights))
	}
	return others[0], nil
}

// checkCapacity requires that the candidate has at least half as many slots as
// the requested share of the baseline's slots. The error is ErrInfeasible.
func checkCapacity(intent Intent, zones []ZoneCapacity) error {
	baseline, candidate := 0, 0
	for _, z := range zones {
		baseline += z.BaselineSlots
		candidate += z.CandidateSlots
	}
	if candidate == 0 {
		return errors.Wrapf(ErrInfeasible, "version: no upstream of %s %s accepts calls; start some first", intent.Service, intent.Version)
	}
	needed := float64(baseline) * float64(intent.Share) / float64(config.FullShare) / 2
	if float64(candidate) < needed {
		maxShare := float64(config.FullShare) * 2 * float64(candidate) / float64(baseline)
		return errors.Wrapf(ErrInfeasible,
			"version: %s has %d slots, under half of the baseline's %d, for a share of %g%%; start more upstreams, or ask for %g%% or less",
			intent.Version, candidate, baseline, intent.Share.Percent(), config.Share(maxShare).Percent())
	}
	return nil
}

// _comparisonShare is the share that stays with the baseline until the dwell of
// the last stage has passed, so that the candidate is always compared with
// baseline calls of the same time.
const _comparisonShare config.Share = 200

// planStages returns the policy's stages that lie between the candidate's
// present share and the requested one. Unless one of them is as high, a last
// stage follows for the requested share, which leaves at least _comparisonShare
// to the baseline. _dwellFraction of the time to the deadline is divided evenly
// among the stages. The error is ErrInfeasible when the deadline is too early.
func planStages(now time.Time, intent Intent, from config.Share, policy config.Policy) ([]Stage, error) {
	var shares []config.Share
	for _, s := range policy.Stages {
		if s > from && s < intent.Share {
			shares = append(shares, s)
		}
	}
	if last := min(intent.Share, config.FullShare-_comparisonShare); len(shares) == 0 || last > shares[len(shares)-1] {
		shares = append(shares, last)
	}
	count := time.Duration(len(shares))
	available := intent.Deadline.Sub(now)
	minDuration := count*(policy.MinDwell+policy.ConvergenceAllowance) + policy.ConvergenceAllowance
	if available < minDuration {
		earliest := now.Add(minDuration).Add(time.Second).Truncate(time.Second)
		return nil, errors.Wrapf(ErrInfeasible,
			"deadline: %d stages of at least %s, plus %s for each stage and for the final step to come into force, need %s; the earliest deadline is %s",
			count, policy.MinDwell, policy.ConvergenceAllowance, minDuration, earliest.Format(time.RFC3339))
	}
	dwell := time.Duration(float64(available)*_dwellFraction)/count - policy.ConvergenceAllowance
	dwell = min(max(dwell.Truncate(_dwellGranularity), policy.MinDwell), _maxDwell)
	stages := make([]Stage, 0, len(shares))
	for _, s := range shares {
		stages = append(stages, Stage{Share: s, Dwell: dwell})
	}
	return stages, nil
}

// String returns the shares of the stages, such as "1% -> 5% -> 100%".
func (r *Rollout) String() string {
	text := ""
	for i, s := range r.Stages {
		if i > 0 {
			text += " -> "
		}
		text += fmt.Sprintf("%g%%", s.Share.Percent())
	}
	return text
}
