package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/rollout"
)

// Members gives the known members.
type Members interface {
	Members() []membership.Member
}

// OperationsDependencies are what Operations are built from.
type OperationsDependencies struct {
	Platform  Platform
	Committer *revision.Committer
	Codec     revision.Codec
	Holder    *revision.Holder
	Members   Members
	Now       func() time.Time
}

// Operations carries out what operators ask for. Each operation has an
// identity: repeating it changes nothing and gives the same answer.
type Operations struct {
	d     OperationsDependencies
	store store
}

// NewOperations returns operations.
func NewOperations(d OperationsDependencies) *Operations {
	return &Operations{d: d, store: store{platform: d.Platform}}
}

// Action is what an operator asks of a rollout.
type Action struct {
	ID        string
	Operator  string
	Operation string
}

// _maxAttempts bounds the tries of an operation that conflicts with others.
const _maxAttempts = 5

// readHead reads the configuration in force from the platform.
func (o *Operations) readHead(ctx context.Context) (*revision.Snapshot, error) {
	object, err := o.d.Platform.Get(ctx, revision.HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the head revision")
	}
	snapshot, err := revision.Load(ctx, o.d.Platform, o.d.Codec, object, o.d.Holder.Current())
	return snapshot, errors.Wrap(err, "load the head revision")
}

// Plan answers an intent with a plan that waits for confirmation. The error
// is rollout.ErrInfeasible, rollout.ErrState or one of the platform's.
func (o *Operations) Plan(ctx context.Context, intent rollout.Intent) (rollout.Rollout, error) {
	for range _maxAttempts {
		r, err := o.plan(ctx, intent)
		if !errors.Is(err, objectstore.ErrConflict) {
			return r, err
		}
	}
	return rollout.Rollout{}, errors.Wrapf(objectstore.ErrConflict, "plan for %s", intent.Service)
}

func (o *Operations) plan(ctx context.Context, intent rollout.Intent) (rollout.Rollout, error) {
	now := o.d.Now()
	last, err := o.store.load(ctx, intent.Service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	if last.version != 0 && last.rollout.LastOperation == intent.Operation {
		return last.rollout, nil
	}
	if err := checkReplaceable(now, &last); err != nil {
		return rollout.Rollout{}, err
	}
	current, err := o.readHead(ctx)
	if err != nil {
		return rollout.Rollout{}, err
	}
	facts := rollout.PlanInputs{Revision: current.Manifest.Number, Config: current.Config}
	if service, ok := current.Config.Service(intent.Service); ok {
		facts.Capacity = Capacity(o.d.Members.Members(), service, intent.Version)
	}
	r, err := rollout.New(now, newRolloutID(intent.Service), intent, facts)
	if err != nil {
		return rollout.Rollout{}, err
	}
	if last.version != 0 {
		r.InheritHistory(last.rollout)
	}
	saved, err := o.store.save(ctx, r, last.version)
	return saved.rollout, err
}

// checkReplaceable reports why a new plan can't follow the service's last rollout.
func checkReplaceable(now time.Time, last *storedRollout) error {
	r := &last.rollout
	switch {
	case last.version == 0 || r.State.Ended():
		return nil
	case r.State == rollout.Planned && !now.Before(r.ExpiresAt):
		return r.Expire(now)
	case r.State == rollout.Planned:
		return errors.Wrapf(rollout.ErrState, "plan %s by %s waits for confirmation until %s; confirm or reject it first",
			r.ID, r.Operator, r.ExpiresAt.Format(time.RFC3339))
	default:
		return errors.Wrapf(rollout.ErrState, "rollout %s, confirmed by %s, is %s; wait for its end or roll it back", r.ID, r.Operator, r.State)
	}
}

func newRolloutID(service config.ServiceName) string {
	return fmt.Sprintf("%s.%08x", service, rand.Uint32())
}

// Capacity returns what each zone has of a service's versions: that of the
// candidate, and of all others together.
func Capacity(members []membership.Member, service config.Service, candidate config.VersionName) []rollout.ZoneCapacity {
	var zones []rollout.ZoneCapacity
	for _, m := range members {
		if m.Service != service.Name || !m.State.AcceptsCalls() {
			continue
		}
		if len(zones) == 0 || zones[len(zones)-1].Zone != m.Zone {
			zones = append(zones, rollout.ZoneCapacity{Zone: m.Zone})
		}
		z := &zones[len(zones)-1]
		if m.Version == candidate {
			z.CandidateUpstreams++
			z.CandidateSlots += m.Slots
		} else if service.ShareOf(m.Version) > 0 {
			z.BaselineUpstreams++
			z.BaselineSlots += m.Slots
		}
	}
	return zones
}

// Confirm starts a planned rollout. The error is rollout.ErrState,
// rollout.ErrOutdated or one of the platform's.
func (o *Operations) Confirm(ctx context.Context, a Action) (rollout.Rollout, error) {
	return o.updateRollout(ctx, a, func(ctx context.Context, now time.Time, r *rollout.Rollout) error {
		current, err := o.readHead(ctx)
		if err != nil {
			return err
		}
		service, ok := current.Config.Service(r.Service)
		if !ok {
			return errors.Wrapf(rollout.ErrOutdated, "service %s no longer exists", r.Service)
		}
		return r.Confirm(now, a.Operator, a.Operation, service)
	})
}

// Reject ends a planned rollout. The error is as that of Confirm.
func (o *Operations) Reject(ctx context.Context, a Action) (rollout.Rollout, error) {
	return o.updateRollout(ctx, a, func(_ context.Context, now time.Time, r *rollout.Rollout) error {
		return r.Reject(now, a.Operator, a.Operation)
	})
}

// Rollback begins to take a running rollout back. The error is as that of
// Confirm.
func (o *Operations) Rollback(ctx context.Context, a Action) (rollout.Rollout, error) {
	return o.updateRollout(ctx, a, func(_ context.Context, now time.Time, r *rollout.Rollout) error {
		return r.StartRollback(now, "asked for by "+a.Operator, a.Operation)
	})
}

type transition func(ctx context.Context, now time.Time, r *rollout.Rollout) error

// updateRollout makes one transition of a rollout, and makes it anew when another
// write came first.
func (o *Operations) updateRollout(ctx context.Context, a Action, apply transition) (rollout.Rollout, error) {
	service := serviceOfRollout(a.ID)
	for range _maxAttempts {
		last, err := o.store.load(ctx, service)
		if err != nil {
			return rollout.Rollout{}, err
		}
		if last.version == 0 || last.rollout.ID != a.ID {
			return rollout.Rollout{}, errors.Wrapf(rollout.ErrState, "rollout %q is not the last one of %q; see 'lentilferry status'", a.ID, service)
		}
		if last.rollout.LastOperation == a.Operation || last.rollout.ConfirmOperation == a.Operation {
			return last.rollout, nil
		}
		r := last.rollout
		if err := apply(ctx, o.d.Now(), &r); err != nil {
			return last.rollout, err
		}
		saved, err := o.store.save(ctx, r, last.version)
		if errors.Is(err, objectstore.ErrConflict) {
			continue
		}
		return saved.rollout, err
	}
	return rollout.Rollout{}, errors.Wrapf(objectstore.ErrConflict, "rollout %s", a.ID)
}

// Rollouts returns the last rollout of each service.
func (o *Operations) Rollouts(ctx context.Context) ([]rollout.Rollout, error) {
	all, err := o.store.list(ctx)
	rollouts := make([]rollout.Rollout, 0, len(all))
	for _, stored := range all {
		rollouts = append(rollouts, stored.rollout)
	}
	return rollouts, err
}

// Apply makes a configuration document the one in force. It reads the
// document against the configuration that it replaces, so that shares stay
// as they are. With dryRun nothing is committed.
func (o *Operations) Apply(ctx context.Context, document []byte, operator, operation string, dryRun bool) (ApplyResult, error) {
	if dryRun {
		return o.dryRun(ctx, document)
	}
	var changes []ConfigChange
	outcome := o.d.Committer.Commit(ctx, o.d.Now(), revision.CommitRequest{
		Operation: operation,
		Message:   "configuration applied by " + operator,
		Change: func(_ context.Context, current config.Config) (config.Config, error) {
			desired, err := config.ParseYAML(document, current)
			if err != nil {
				return config.Config{}, err
			}
			changes, err = Compare(o.d.Codec, current, desired)
			return desired, err
		},
	})
	switch outcome.Result {
	case revision.Committed, revision.Unchanged:
		return ApplyResult{Revision: outcome.Number, Changes: changes}, nil
	case revision.Unresolved:
		return ApplyResult{}, errors.Mark(outcome.Err, ErrUnresolved)
	default:
		return ApplyResult{}, outcome.Err
	}
}

func (o *Operations) dryRun(ctx context.Context, document []byte) (ApplyResult, error) {
	var current config.Config
	var number uint64
	snapshot, err := o.readHead(ctx)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return ApplyResult{}, err
	}
	if err == nil {
		current, number = snapshot.Config, snapshot.Manifest.Number
	}
	desired, err := config.ParseYAML(document, current)
	if err != nil {
		return ApplyResult{}, err
	}
	changes, err := Compare(o.d.Codec, current, desired)
	return ApplyResult{Revision: number, Changes: changes}, err
}
