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

// ZoneReports is what a zone's collector said.
type ZoneReports struct {
	Zone membership.Zone
	// Reached is false when no collector of the zone answered.
	Reached bool
	// Excluded is set for a zone that was not heard of for too long.
	Excluded bool
	Reports  []evidence.Report
}

// EvidenceSource gathers the evidence on a rollout from the zones that have
// upstreams of its service.
type EvidenceSource interface {
	Gather(ctx context.Context, rollout string, service config.ServiceName) []ZoneReports
}

// Fleet tells what is in force.
type Fleet interface {
	InForce(ctx context.Context, now time.Time) membership.InForce
}

// Quarantines gives the known quarantines.
type Quarantines interface {
	All() []quarantine.Quarantine
}

// ControllerDependencies are what a Controller is built from.
type ControllerDependencies struct {
	// Name identifies the candidate for the lease; unique for each start.
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

// Controller makes the transitions of all rollouts while it holds the lease.
// It is safe for concurrent use.
type Controller struct {
	d     ControllerDependencies
	store store

	// mu is held during a step.
	mu         sync.Mutex
	leadership leadership
	// trackers holds what is known of each rollout under way.
	trackers map[string]*rolloutTracker
	// holdsLease is whether the lease was holdsLease at the last step.
	holdsLease atomic.Bool
}

// rolloutTracker is what a controller remembers of a rollout between steps.
type rolloutTracker struct {
	detector *evidence.Detector
	// lastReached is when each zone's collector last answered.
	lastReached map[membership.Zone]time.Time
	// savedAt is when the rollout was last stored.
	savedAt time.Time
}

const (
	// _evidenceLifetime is how long a zone's evidence counts as current.
	_evidenceLifetime = 10 * time.Second
	// _progressSaveInterval is the least time between two writes of mere progress.
	_progressSaveInterval = 5 * time.Second
)

// NewController returns a controller that does not hold the lease.
func NewController(d ControllerDependencies) *Controller {
	return &Controller{
		d:          d,
		store:      store{platform: d.Platform},
		leadership: leadership{platform: d.Platform, lease: lease.New(d.Timing, d.Name), now: d.Now},
		trackers:   make(map[string]*rolloutTracker),
	}
}

// Step keeps the lease and, while it is held, lets each rollout take its next
// transition. An error is for the log: the next step tries again. While another
// step is under way it does nothing.
func (c *Controller) Step(ctx context.Context) error {
	if !c.mu.TryLock() {
		return nil
	}
	defer c.mu.Unlock()
	combined := c.leadership.maintain(ctx)
	epoch, held := c.leadership.lease.Held(c.d.Now())
	if c.holdsLease.Swap(held) != held {
		c.d.Logger.Info("Controller role changed", "held", held, "epoch", epoch)
	}
	if !held {
		clear(c.trackers)
		return combined
	}
	all, err := c.store.list(ctx)
	combined = errors.CombineErrors(combined, err)
	for _, stored := range all {
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

// HoldsLease reports whether the lease is held.
func (c *Controller) HoldsLease() bool {
	return c.holdsLease.Load()
}

// Stop gives the lease back.
func (c *Controller) Stop(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leadership.release(ctx)
}

// advance lets one rollout take its next transition.
func (c *Controller) advance(ctx context.Context, epoch uint64, stored storedRollout) error {
	r := stored.rollout
	if r.Epoch > epoch {
		c.leadership.lease.RaiseEpochAbove(r.Epoch)
		return errors.Wrapf(rollout.ErrEpoch, "epoch %d follows %d; renewing the lease above it", epoch, r.Epoch)
	}
	before := r.WaitingFor
	tracker := c.trackerFor(&r)
	inputs := c.inputs(ctx, epoch, &r, tracker)
	// Gathering takes time: the lease must still be held when it is used.
	now := c.d.Now()
	if _, held := c.leadership.lease.Held(now); !held {
		return errors.Wrap(rollout.ErrEpoch, "the lease has lapsed")
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

func (c *Controller) inputs(ctx context.Context, epoch uint64, r *rollout.Rollout, tracker *rolloutTracker) rollout.Inputs {
	now := c.d.Now()
	in := rollout.Inputs{Epoch: epoch, Policy: config.DefaultPolicy(r.Service)}
	if r.State == rollout.Planned {
		return in
	}
	if r.AwaitsConvergence() {
		fleet := c.d.Fleet.InForce(ctx, now)
		in.InForce = fleet.Revision
		in.LaggingMembers = describeLagging(fleet.Lagging)
	}
	if current := c.d.Holder.Current(); current != nil {
		in.Policy = current.Config.Policy(r.Service)
	}
	if r.State != rollout.Running {
		return in
	}
	for _, z := range c.d.Evidence.Gather(ctx, r.ID, r.Service) {
		if z.Reached {
			tracker.lastReached[z.Zone] = c.d.Now()
			tracker.detector.Observe(c.d.Now(), z.Zone, z.Reports)
		}
		if c.d.Now().Sub(tracker.lastReached[z.Zone]) > _evidenceLifetime && !z.Excluded {
			in.StaleZones = append(in.StaleZones, z.Zone)
		}
	}
	in.Verdict = tracker.detector.Verdict()
	for _, q := range c.d.Quarantines.All() {
		if q.Rollout == r.ID {
			in.Quarantine = string(q.Zone) + ": " + q.Reason
		}
	}
	return in
}

// _maxNamedLagging is how many members are named as holding a revision back.
const _maxNamedLagging = 3

func describeLagging(lagging []membership.LaggingMember) string {
	var names []string
	for _, h := range lagging[:min(_maxNamedLagging, len(lagging))] {
		name := "zone " + string(h.Zone)
		if h.ID != "" {
			name = string(h.Zone) + "/" + string(h.ID)
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

func (c *Controller) save(ctx context.Context, r rollout.Rollout, version uint64, tracker *rolloutTracker) error {
	saved, err := c.store.save(ctx, r, version)
	if err != nil {
		return err
	}
	tracker.savedAt = c.d.Now()
	c.d.Logger.Info("Rollout step", "rollout", r.ID, "state", r.State, "stage", r.Stage,
		"share", r.Share().Percent(), "waitingFor", saved.rollout.WaitingFor, "reason", r.Reason)
	return nil
}

// commit makes the rollout's shares a revision and stores that it did. The
// commit takes effect only while the rollout is stored as it was decided on:
// the check comes after the head was read, so that any later change of the
// head makes the commit fail.
func (c *Controller) commit(ctx context.Context, r rollout.Rollout, version uint64, tracker *rolloutTracker) error {
	outcome := c.d.Committer.Commit(ctx, c.d.Now(), revision.CommitRequest{
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
	if err := r.RecordCommit(c.d.Now(), outcome.Number); err != nil {
		return err
	}
	return c.save(ctx, r, version, tracker)
}

func (c *Controller) nextConfig(ctx context.Context, r *rollout.Rollout, version uint64, current config.Config) (config.Config, error) {
	stored, err := c.store.load(ctx, r.Service)
	if err != nil {
		return config.Config{}, err
	}
	if stored.version != version {
		return config.Config{}, errors.Wrapf(objectstore.ErrConflict, "rollout %s was changed by another", r.ID)
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
