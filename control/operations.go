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

// Members lists the known members.
type Members interface {
	Members() []membership.Member
}

// ErrNotManaged means that the configuration and the orders are not managed
// through these operations, because operators write them to the users' platform.
var ErrNotManaged = errors.New("operators write the configuration and the orders to the users' platform")

// OperationsDependencies are what Operations are built from.
type OperationsDependencies struct {
	Platform  Platform
	Committer *revision.Committer
	Codec     revision.Codec
	Holder    *revision.Holder
	Members   Members
	// IsManagedElsewhere is set if operators write the configuration and the
	// orders to the users' platform. All changes are then refused with
	// ErrNotManaged.
	IsManagedElsewhere bool
	Now                func() time.Time
}

// Operations carries out operators' requests. Each request has an operation ID
// that makes it idempotent: repeating it changes nothing and returns the same
// answer.
type Operations struct {
	deps  OperationsDependencies
	store store
}

// NewOperations returns Operations that use the given dependencies.
func NewOperations(deps OperationsDependencies) *Operations {
	return &Operations{deps: deps, store: store{platform: deps.Platform}}
}

// Action is an operator's request for a transition of a rollout.
type Action struct {
	// ID is the rollout's ID.
	ID       string
	Operator string
	// Operation is the ID of the request and makes it idempotent.
	Operation string
}

// _maxAttempts is the maximum number of attempts of an operation that conflicts
// with other writes.
const _maxAttempts = 5

// checkManaged returns ErrNotManaged if changes are made elsewhere.
func (o *Operations) checkManaged() error {
	if o.deps.IsManagedElsewhere {
		return errors.Wrap(ErrNotManaged, "nothing was changed; write the change there, a configuration under a higher version")
	}
	return nil
}

// readHead reads the newest committed configuration from the platform.
func (o *Operations) readHead(ctx context.Context) (*revision.Snapshot, error) {
	object, err := o.deps.Platform.Get(ctx, revision.HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the head revision")
	}
	snapshot, err := revision.Load(ctx, o.deps.Platform, o.deps.Codec, object, o.deps.Holder.Current())
	return snapshot, errors.Wrap(err, "load the head revision")
}

// Plan plans a rollout for an intent and stores it. The plan then waits for
// confirmation. The error is ErrNotManaged, rollout.ErrInfeasible,
// rollout.ErrState or one of the platform's.
func (o *Operations) Plan(ctx context.Context, intent rollout.Intent) (rollout.Rollout, error) {
	if err := o.checkManaged(); err != nil {
		return rollout.Rollout{}, err
	}
	for range _maxAttempts {
		r, err := o.plan(ctx, intent)
		if !errors.Is(err, objectstore.ErrConflict) {
			return r, err
		}
	}
	return rollout.Rollout{}, errors.Wrapf(objectstore.ErrConflict, "plan for %s", intent.Service)
}

func (o *Operations) plan(ctx context.Context, intent rollout.Intent) (rollout.Rollout, error) {
	now := o.deps.Now()
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
	inputs := rollout.PlanInputs{Revision: current.Manifest.Number, Config: current.Config}
	if service, ok := current.Config.Service(intent.Service); ok {
		inputs.Capacity = Capacity(o.deps.Members.Members(), service, intent.Version)
	}
	r, err := rollout.New(now, newRolloutID(intent.Service), intent, inputs)
	if err != nil {
		return rollout.Rollout{}, err
	}
	if last.version != 0 {
		r.InheritHistory(last.rollout)
	}
	saved, err := o.store.save(ctx, r, last.version)
	return saved.rollout, err
}

// checkReplaceable returns rollout.ErrState if a new plan can't follow the
// service's last rollout. It expires a plan that was not confirmed in time.
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

// newRolloutID returns a random rollout ID, "service.xxxxxxxx".
func newRolloutID(service config.ServiceName) string {
	return fmt.Sprintf("%s.%08x", service, rand.Uint32())
}

// Capacity returns each zone's capacity for the candidate, and for all other
// versions that have a share, taken together. Members must be sorted by zone.
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

// Confirm starts a planned rollout. The error is ErrNotManaged,
// rollout.ErrState, rollout.ErrOutdated or one of the platform's.
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

// Reject ends a planned rollout. The errors are those of Confirm.
func (o *Operations) Reject(ctx context.Context, a Action) (rollout.Rollout, error) {
	return o.updateRollout(ctx, a, func(_ context.Context, now time.Time, r *rollout.Rollout) error {
		return r.Reject(now, a.Operator, a.Operation)
	})
}

// Rollback starts to roll a running rollout back. The errors are those of
// Confirm.
func (o *Operations) Rollback(ctx context.Context, a Action) (rollout.Rollout, error) {
	return o.updateRollout(ctx, a, func(_ context.Context, now time.Time, r *rollout.Rollout) error {
		return r.StartRollback(now, "asked for by "+a.Operator, a.Operation)
	})
}

// transition changes a rollout, or returns why it can't.
type transition func(ctx context.Context, now time.Time, r *rollout.Rollout) error

// updateRollout applies one transition to a stored rollout, and tries again
// from the stored state when another write came first. An action that was
// already applied changes nothing.
func (o *Operations) updateRollout(ctx context.Context, a Action, apply transition) (rollout.Rollout, error) {
	if err := o.checkManaged(); err != nil {
		return rollout.Rollout{}, err
	}
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
		if err := apply(ctx, o.deps.Now(), &r); err != nil {
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

// Rollouts returns the last rollout of each service. With an error it returns
// those that could be read.
func (o *Operations) Rollouts(ctx context.Context) ([]rollout.Rollout, error) {
	all, err := o.store.list(ctx)
	rollouts := make([]rollout.Rollout, 0, len(all))
	for _, stored := range all {
		rollouts = append(rollouts, stored.rollout)
	}
	return rollouts, err
}

// Apply commits a configuration document. It is parsed with reference to the
// configuration that it replaces, from which versions keep their shares. With
// dryRun nothing is committed. The error is ErrNotManaged, or ErrUnresolved when
// the document may have been committed.
func (o *Operations) Apply(ctx context.Context, document []byte, operator, operation string, dryRun bool) (ApplyResult, error) {
	if dryRun {
		return o.dryRun(ctx, document)
	}
	if err := o.checkManaged(); err != nil {
		return ApplyResult{}, err
	}
	var changes []ConfigChange
	outcome := o.deps.Committer.Commit(ctx, o.deps.Now(), revision.CommitRequest{
		Operation: operation,
		Message:   "configuration applied by " + operator,
		Change: func(_ context.Context, current config.Config) (config.Config, error) {
			desired, err := config.ParseYAML(document, current)
			if err != nil {
				return config.Config{}, err
			}
			changes, err = Compare(o.deps.Codec, current, desired)
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

// dryRun returns what applying the document would change.
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
	changes, err := Compare(o.deps.Codec, current, desired)
	return ApplyResult{Revision: number, Changes: changes}, err
}
