package control

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/rollout"
)

// ZoneReports is the answer of a zone's evidence collector.
type ZoneReports struct {
	Zone membership.Zone
	// Reached is false when no collector of the zone answered.
	Reached bool
	// Excluded is set for a zone that has been unreachable for so long that
	// rollouts no longer wait for it.
	Excluded bool
	Reports  []evidence.Report
}

// EvidenceSource gathers the evidence on a rollout from the zones that have
// upstreams of its service, one result for each zone.
type EvidenceSource interface {
	Gather(ctx context.Context, rollout string, service config.ServiceName) []ZoneReports
}

// Fleet reports the revision that is in force on all nodes.
type Fleet interface {
	InForce(ctx context.Context, now time.Time) membership.InForce
}

// Quarantines lists the known quarantines.
type Quarantines interface {
	All() []quarantine.Quarantine
}

// ControllerDependencies are what a Controller is built from.
type ControllerDependencies struct {
	// Name identifies the controller as a holder of the lease. It is unique for
	// each start of a process.
	Name        string
	Timing      lease.Timing
	Platform    Platform
	Committer   *revision.Committer
	Holder      *revision.Holder
	Evidence    EvidenceSource
	Fleet       Fleet
	Quarantines Quarantines
	Logger      klog.Logger
	Now         func() time.Time
}

// Controller makes the transitions of all rollouts while it holds the
// controller's lease. It is safe for concurrent use.
type Controller struct {
	deps  ControllerDependencies
	store store

	// mu is held during a step.
	mu         sync.Mutex
	leadership leadership
	// trackers holds a tracker for the ID of each rollout under way.
	trackers map[string]*rolloutTracker
	// isStopped is set by Stop.
	isStopped bool
	// holdsLease is set if the lease was held at the last step.
	holdsLease atomic.Bool
}

// rolloutTracker is a controller's in-memory state of a rollout between steps.
type rolloutTracker struct {
	detector *evidence.Detector
	// lastReached maps each zone to when its collector last answered.
	lastReached map[membership.Zone]time.Time
	// savedAt is when the rollout was last stored.
	savedAt time.Time
}

const (
	// _evidenceLifetime is how long a zone's evidence counts as current.
	_evidenceLifetime = 10 * time.Second
	// _progressSaveInterval is the minimum time between two writes of a rollout
	// of which only the call counts have changed.
	_progressSaveInterval = 5 * time.Second
)

// NewController returns a controller that does not hold the lease.
func NewController(deps ControllerDependencies) *Controller {
	return &Controller{
		deps:       deps,
		store:      store{platform: deps.Platform},
		leadership: leadership{platform: deps.Platform, lease: lease.New(deps.Timing, deps.Name), now: deps.Now},
		trackers:   make(map[string]*rolloutTracker),
	}
}

// Step maintains the lease and, while it is held, lets each rollout make its
// next transition. It does nothing while another step is running or after Stop.
// An error is only for the log: the next step tries again.
func (c *Controller) Step(ctx context.Context) error {
	if !c.mu.TryLock() {
		return nil
	}
	defer c.mu.Unlock()
	if c.isStopped {
		return nil
	}
	combined := c.leadership.maintain(ctx)
	epoch, held := c.leadership.lease.Held(c.deps.Now())
	if c.holdsLease.Swap(held) != held {
		c.deps.Logger.Info("Controller role changed", "held", held, "epoch", epoch)
	}
	if !held {
		clear(c.trackers)
		return combined
	}
	rollouts, err := c.store.list(ctx)
	combined = errors.CombineErrors(combined, err)
	for _, stored := range rollouts {
		if stored.rollout.State.Ended() {
			delete(c.trackers, stored.rollout.ID)
			continue
		}
		if err := c.advance(ctx, epoch, stored); err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "rollout %s", stored.rollout.ID))
		}
	}
	return combined
}

// HoldsLease reports whether the lease was held at the last step.
func (c *Controller) HoldsLease() bool {
	return c.holdsLease.Load()
}

// Stop releases the lease for good, after the step that is running.
func (c *Controller) Stop(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped = true
	c.leadership.release(ctx)
}

// advance lets one rollout make its next transition. The error is
// rollout.ErrEpoch when the lease has expired or its epoch is below the
// rollout's, and otherwise that of the commit or of store.save.
func (c *Controller) advance(ctx context.Context, epoch uint64, stored storedRollout) error {
	r := stored.rollout
	if r.Epoch > epoch {
		c.leadership.lease.RaiseEpochAbove(r.Epoch)
		return errors.Wrapf(rollout.ErrEpoch, "the lease's epoch %d is below the rollout's epoch %d; the lease will be renewed above it", epoch, r.Epoch)
	}
	before := r.WaitingFor
	tracker := c.trackerFor(&r)
	inputs := c.inputs(ctx, epoch, &r, tracker)
	// Gathering inputs takes time: the lease must still be held when they are
	// used.
	now := c.deps.Now()
	if _, held := c.leadership.lease.Held(now); !held {
		return errors.Wrap(rollout.ErrEpoch, "the lease has expired")
	}
	decision, err := r.Decide(now, inputs)
	if err != nil {
		return err
	}
	switch decision.Kind {
	case rollout.Commit:
		return c.commit(ctx, r, stored.version, tracker)
	case rollout.Save:
		return c.save(ctx, r, stored.version, tracker)
	default:
		if r.WaitingFor == before && now.Sub(tracker.savedAt) < _progressSaveInterval || r.State == rollout.Planned {
			return nil
		}
		return c.save(ctx, r, stored.version, tracker)
	}
}

// trackerFor returns the rollout's tracker, a new one if there is none.
func (c *Controller) trackerFor(r *rollout.Rollout) *rolloutTracker {
	tracker, ok := c.trackers[r.ID]
	if !ok {
		tracker = &rolloutTracker{
			detector:    evidence.NewDetector(r.Baseline, r.Candidate),
			lastReached: make(map[membership.Zone]time.Time),
		}
		c.trackers[r.ID] = tracker
	}
	return tracker
}

// inputs gathers what the rollout's state needs for its next transition.
func (c *Controller) inputs(ctx context.Context, epoch uint64, r *rollout.Rollout, tracker *rolloutTracker) rollout.Inputs {
	now := c.deps.Now()
	in := rollout.Inputs{Epoch: epoch, Policy: config.DefaultPolicy(r.Service)}
	if r.State == rollout.Planned {
		return in
	}
	if r.AwaitsConvergence() {
		fleet := c.deps.Fleet.InForce(ctx, now)
		in.InForce = fleet.Revision
		in.LaggingMembers = describeLagging(fleet.Lagging)
	}
	if current := c.deps.Holder.Current(); current != nil {
		in.Policy = current.Config.Policy(r.Service)
	}
	if r.State != rollout.Running {
		return in
	}
	for _, z := range c.deps.Evidence.Gather(ctx, r.ID, r.Service) {
		if z.Reached {
			tracker.lastReached[z.Zone] = c.deps.Now()
			tracker.detector.Observe(c.deps.Now(), z.Zone, z.Reports)
		}
		if c.deps.Now().Sub(tracker.lastReached[z.Zone]) > _evidenceLifetime && !z.Excluded {
			in.StaleZones = append(in.StaleZones, z.Zone)
		}
	}
	in.Verdict = tracker.detector.Verdict()
	for _, q := range c.deps.Quarantines.All() {
		if q.Rollout == r.ID {
			in.Quarantine = string(q.Zone) + ": " + q.Reason
		}
	}
	return in
}

// _maxNamedLagging is the maximum number of lagging members that are named.
const _maxNamedLagging = 3

// describeLagging names the first of the lagging members, for the operator.
func describeLagging(lagging []membership.LaggingMember) string {
	var names []string
	for _, m := range lagging[:min(_maxNamedLagging, len(lagging))] {
		name := "zone " + string(m.Zone)
		if m.ID != "" {
			name = string(m.Zone) + "/" + string(m.ID)
		}
		names = append(names, name)
	}
	switch {
	case len(lagging) > _maxNamedLagging:
		names = append(names, "others")
	case len(lagging) == 0:
		names = append(names, "nodes that have not said so yet")
	}
	return strings.Join(names, ", ")
}

// save stores the rollout over the version that it was read at. The errors are
// those of store.save.
func (c *Controller) save(ctx context.Context, r rollout.Rollout, version uint64, tracker *rolloutTracker) error {
	saved, err := c.store.save(ctx, r, version)
	if err != nil {
		return err
	}
	tracker.savedAt = c.deps.Now()
	c.deps.Logger.Info("Rollout step", "rollout", r.ID, "state", r.State, "stage", r.Stage,
		"share", r.Share().Percent(), "waitingFor", saved.rollout.WaitingFor, "reason", r.Reason)
	return nil
}

// commit commits the rollout's shares as a revision and records that in the
// rollout. The commit takes effect only if the stored rollout is still the one
// that was decided on. That is checked after the head was read, so that any
// later change of the head makes the commit fail.
func (c *Controller) commit(ctx context.Context, r rollout.Rollout, version uint64, tracker *rolloutTracker) error {
	outcome := c.deps.Committer.Commit(ctx, c.deps.Now(), revision.CommitRequest{
		Operation:        r.CommitOperation(),
		Message:          "rollout " + r.ID,
		ForceNewRevision: r.State == rollout.RollingBack,
		Change: func(ctx context.Context, current config.Config) (config.Config, error) {
			return c.nextConfig(ctx, &r, version, current)
		},
	})
	if outcome.Result != revision.Committed && outcome.Result != revision.Unchanged {
		return outcome.Err
	}
	if err := r.RecordCommit(c.deps.Now(), outcome.Number); err != nil {
		return err
	}
	return c.save(ctx, r, version, tracker)
}

// nextConfig returns the current configuration with the rollout's shares. The
// error is objectstore.ErrConflict when the stored rollout is no longer at the
// version, and rollout.ErrOutdated when the service was removed or belongs to
// another rollout.
func (c *Controller) nextConfig(ctx context.Context, r *rollout.Rollout, version uint64, current config.Config) (config.Config, error) {
	stored, err := c.store.load(ctx, r.Service)
	if err != nil {
		return config.Config{}, err
	}
	if stored.version != version {
		return config.Config{}, errors.Wrapf(objectstore.ErrConflict, "rollout %s was changed by another controller or operator", r.ID)
	}
	service, ok := current.Service(r.Service)
	if !ok {
		return config.Config{}, errors.Wrapf(rollout.ErrOutdated, "service %s no longer exists", r.Service)
	}
	if service.Rollout.ID != "" && service.Rollout.ID != r.ID {
		return config.Config{}, errors.Wrapf(rollout.ErrOutdated, "%s is being moved by rollout %s", r.Service, service.Rollout.ID)
	}
	return current.WithService(r.ServiceAfterCommit(service)), nil
}
