package revision

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/objectstore"
)

// HeadKey names the object that carries the current revision.
var HeadKey = objectstore.Key{Kind: objectstore.KindHead, Name: "head"}

// ReadStore is what loading a revision needs of the platform.
type ReadStore interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
}

// Store is what committing a revision needs of the platform.
type Store interface {
	ReadStore
	Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome
	Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome
}

// ResourceKey names the object that holds a resource.
func ResourceKey(h Hash) objectstore.Key {
	return objectstore.Key{Kind: objectstore.KindResource, Name: h.String()}
}

// Load reads the manifest from the head object and the resources that known
// lacks from the store, and checks the revision whole. It returns known when
// that is as new. The error is one of Build's or of the platform's.
func Load(ctx context.Context, store ReadStore, codec Codec, head objectstore.Object, known *Snapshot) (*Snapshot, error) {
	m, err := codec.DecodeManifest(head.Value)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode head"), ErrInvalid)
	}
	if known != nil && m.Number <= known.Manifest.Number {
		return known, nil
	}
	values := make(map[Hash][]byte, len(m.Entries))
	for _, e := range m.Entries {
		value, err := loadValue(ctx, store, e.Hash, known)
		if err != nil {
			return nil, err
		}
		values[e.Hash] = value
	}
	return Build(codec, m, values)
}

func loadValue(ctx context.Context, store ReadStore, hash Hash, known *Snapshot) ([]byte, error) {
	if known != nil {
		if value, ok := known.Values[hash]; ok {
			return value, nil
		}
	}
	object, err := store.Get(ctx, ResourceKey(hash))
	if err != nil {
		return nil, err
	}
	return object.Value, nil
}

// CommitResult tells what became of a commit.
type CommitResult int

// The results of a commit.
const (
	// Committed means that the change is part of the current revision.
	Committed CommitResult = iota + 1
	// Unchanged means that the configuration was already as asked.
	Unchanged
	// Refused means that nothing was committed.
	Refused
	// Unresolved means that the commit may have taken effect and the platform
	// could not be asked in time.
	Unresolved
)

// CommitOutcome is the outcome of a commit.
type CommitOutcome struct {
	Result CommitResult
	// Number is the revision that holds the change; 0 when Refused or Unresolved.
	Number uint64
	// Err is nil when Committed or Unchanged.
	Err error
}

// Change returns the configuration that is to follow the current one. It is
// called after the head was read, once for each try.
type Change func(ctx context.Context, current config.Config) (config.Config, error)

// CommitRequest is one change to commit.
type CommitRequest struct {
	// Operation identifies the commit: repeating it changes nothing.
	Operation string
	Message   string
	Change    Change
	// ForceNewRevision commits a new revision even when the configuration stays as it
	// is, so that each conditional update begun before it fails.
	ForceNewRevision bool
}

// Committer commits revisions by one conditional update of the head object.
type Committer struct {
	store  Store
	codec  Codec
	holder *Holder
}

// NewCommitter returns a committer that takes known resources from the holder.
func NewCommitter(store Store, codec Codec, holder *Holder) *Committer {
	return &Committer{store: store, codec: codec, holder: holder}
}

const (
	// _maxCommitAttempts bounds the tries of one commit.
	_maxCommitAttempts = 12
	// _initialBackoff is the pause before the second try.
	_initialBackoff = 20 * time.Millisecond
	// _maxBackoff bounds the pause between two tries.
	_maxBackoff = 2 * time.Second
)

// Commit applies a change to the current configuration. It tries again on a
// conflict and reads back after a lost answer until the context ends.
func (c *Committer) Commit(ctx context.Context, now time.Time, request CommitRequest) CommitOutcome {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = _initialBackoff
	backOff.MaxInterval = _maxBackoff
	var last attempt
	uncertain := make(map[uint64]bool)
	for range _maxCommitAttempts {
		last = c.attemptOnce(ctx, now, request)
		if !last.retry {
			break
		}
		if last.outcome.Result == Unresolved {
			uncertain[last.headVersion] = true
		}
		select {
		case <-time.After(backOff.NextBackOff()):
		case <-ctx.Done():
			return last.finalOutcome(uncertain)
		}
	}
	return last.finalOutcome(uncertain)
}

// attempt is one try of a commit.
type attempt struct {
	outcome CommitOutcome
	// headVersion is the version of the headVersion object that was read, and readHead
	// whether it could be.
	headVersion uint64
	headRead    bool
	// retry is set when another try may help.
	retry bool
}

// finalOutcome returns the outcome of the whole commit. Unsure holds the versions of
// the head over which writes of unknown outcome were sent: while the head still
// has such a version, or can't be read, the write may yet take effect, and the
// commit is not refused.
func (a attempt) finalOutcome(uncertain map[uint64]bool) CommitOutcome {
	outcome := a.outcome
	if outcome.Result != Refused && outcome.Result != Unresolved {
		return outcome
	}
	if len(uncertain) > 0 && (!a.headRead || uncertain[a.headVersion]) {
		return CommitOutcome{Result: Unresolved, Err: errors.Wrap(outcome.Err, "the commit may have taken effect")}
	}
	return CommitOutcome{Result: Refused, Err: errors.Wrap(outcome.Err, "nothing was committed")}
}

// attemptOnce makes one attemptOnce.
func (c *Committer) attemptOnce(ctx context.Context, now time.Time, request CommitRequest) attempt {
	base, version, err := c.readHead(ctx)
	if err != nil {
		return attempt{outcome: CommitOutcome{Result: Refused, Err: err}, retry: errors.Is(err, objectstore.ErrUnavailable)}
	}
	a := attempt{headVersion: version, headRead: true}
	a.outcome, a.retry = c.attemptOnHead(ctx, now, request, base, version)
	return a
}

// attemptOnHead makes one try over the head that was read, and reports whether
// another may help.
func (c *Committer) attemptOnHead(ctx context.Context, now time.Time, request CommitRequest, base *Snapshot, version uint64) (CommitOutcome, bool) {
	var current config.Config
	if base != nil {
		if number, ok := base.Manifest.AppliedIn(request.Operation); ok && version != 0 {
			return CommitOutcome{Result: Committed, Number: number}, false
		}
		current = base.Config
	}
	wanted, err := request.Change(ctx, current)
	if err != nil {
		return CommitOutcome{Result: Refused, Err: err}, errors.Is(err, objectstore.ErrUnavailable)
	}
	next, err := Next(c.codec, base, wanted, request.Operation, request.Message, now)
	if err != nil {
		return CommitOutcome{Result: Refused, Err: err}, false
	}
	if version != 0 && !request.ForceNewRevision && SameEntries(base.Manifest, next.Manifest) {
		return CommitOutcome{Result: Unchanged, Number: base.Manifest.Number}, false
	}
	return c.write(ctx, base, version, next)
}

func (c *Committer) readHead(ctx context.Context) (*Snapshot, uint64, error) {
	head, err := c.store.Get(ctx, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		// A head that was there before is lost: what is held goes on from its
		// number, or no node would take the new revision.
		return c.holder.Current(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	m, err := c.codec.DecodeManifest(head.Value)
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "decode head"), ErrInvalid)
	}
	known := c.holder.Current()
	if known != nil && known.Manifest.Number > m.Number {
		return nil, 0, errors.Wrapf(objectstore.ErrUnavailable, "the head read has number %d, older than %d held here", m.Number, known.Manifest.Number)
	}
	base, err := Load(ctx, c.store, c.codec, head, known)
	return base, head.Version, err
}

func (c *Committer) write(ctx context.Context, base *Snapshot, version uint64, next *Snapshot) (CommitOutcome, bool) {
	value, err := c.codec.EncodeManifest(next.Manifest)
	if err != nil {
		return CommitOutcome{Result: Refused, Err: err}, false
	}
	if len(value) > objectstore.MaxValueBytes {
		err = errors.Newf("the manifest has %d bytes, more than %d; remove resources", len(value), objectstore.MaxValueBytes)
		return CommitOutcome{Result: Refused, Err: err}, false
	}
	if version == 0 {
		base = nil
	}
	if err := c.writeResources(ctx, base, next); err != nil {
		return CommitOutcome{Result: Refused, Err: err}, errors.Is(err, objectstore.ErrUnavailable)
	}
	var outcome objectstore.WriteOutcome
	if base == nil {
		outcome = c.store.Create(ctx, HeadKey, value)
	} else {
		outcome = c.store.Update(ctx, HeadKey, version, value)
	}
	switch outcome.Result {
	case objectstore.Written:
		c.holder.Offer(next)
		return CommitOutcome{Result: Committed, Number: next.Manifest.Number}, false
	case objectstore.NotWritten:
		return CommitOutcome{Result: Refused, Err: outcome.Err}, true
	default:
		return CommitOutcome{Result: Unresolved, Err: outcome.Err}, true
	}
}

// writeResources creates the objects that the base lacks. A resource that
// exists already is the same one, since its name is its hash.
func (c *Committer) writeResources(ctx context.Context, base, next *Snapshot) error {
	for hash, value := range next.Values {
		if base != nil && base.Values[hash] != nil {
			continue
		}
		outcome := c.store.Create(ctx, ResourceKey(hash), value)
		if outcome.Result == objectstore.Written || errors.Is(outcome.Err, objectstore.ErrConflict) {
			continue
		}
		return errors.Wrap(outcome.Err, fmt.Sprintf("write resource %s", hash))
	}
	return nil
}
