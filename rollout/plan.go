package rollout

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// Intent is what an operator wants.
type Intent struct {
	Service config.ServiceName
	// Version is to get the share.
	Version config.VersionName
	// Share is what the version is to have at the end.
	Share config.Share
	// Deadline is when it is to have it.
	Deadline time.Time
	Operator string
	// Operation identifies the request, so that repeating it changes nothing.
	Operation string
}

// PlanInputs are what a plan is computed from.
type PlanInputs struct {
	// Revision is the number of the configuration.
	Revision uint64
	Config   config.Config
	Capacity []ZoneCapacity
}

const (
	// _planLifetime is how long a plan can be confirmed.
	_planLifetime = 15 * time.Minute
	// _dwellFraction is the part of the time to the deadline that stages use;
	// the rest makes up for trouble on the way.
	_dwellFraction = 0.6
	// _dwellGranularity is what the time of a stage is rounded down to.
	_dwellGranularity = 100 * time.Millisecond
	// _maxDwell bounds the time of a stage.
	_maxDwell = 30 * time.Minute
)

// New plans a rollout. The error is ErrInfeasible and says why, and what
// would be feasible.
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

// soleOtherVersion returns the version that the candidate takes its share from.
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

func checkCapacity(intent Intent, zones []ZoneCapacity) error {
	baseline, candidate := 0, 0
	for _, z := range zones {
		baseline += z.BaselineSlots
		candidate += z.CandidateSlots
	}
	if candidate == 0 {
		return errors.Wrapf(ErrInfeasible, "version: no upstream of %s %s takes work; start some first", intent.Service, intent.Version)
	}
	needed := float64(baseline) * float64(intent.Share) / float64(config.FullShare) / 2
	if float64(candidate) < needed {
		maxShare := float64(config.FullShare) * 2 * float64(candidate) / float64(baseline)
		return errors.Wrapf(ErrInfeasible,
			"version: %s has %d slots, under half of the %d of the version before it, for a share of %g%%; start more upstreams, or ask for %g%% or less",
			intent.Version, candidate, baseline, intent.Share.Percent(), config.Share(maxShare).Percent())
	}
	return nil
}

// _comparisonShare stays with the baseline until the last stage was observed, so
// that the candidate is always compared with the same moment's calls.
const _comparisonShare config.Share = 200

// planStages spreads the policy's stages between the two shares over the time to
// the deadline.
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
			"deadline: %d stages of at least %s, and %s for each to be in force, and the last step as long, need %s; the earliest deadline is %s",
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

// String returns the stages as 1% -> 5% -> 100%.
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
