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

// HeadKey is the key of the object that holds the current revision.
var HeadKey = objectstore.Key{Kind: objectstore.KindHead, Name: "head"}

// ReadStore is the part of the platform that is needed to load a revision.
type ReadStore interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
}

// Store is the part of the platform that is needed to commit a revision.
type Store interface {
	ReadStore
	Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome
	Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome
}

// ResourceKey returns the key of the object that holds a resource.
func ResourceKey(h Hash) objectstore.Key {
	return objectstore.Key{Kind: objectstore.KindResource, Name: h.String()}
}

// Load decodes the manifest in the head object, reads the resources that known
// lacks from the store, and verifies the revision. It returns known if the head
// is not newer. The error is one of Build or of the store; a head that cannot
// be decoded is ErrInvalid.
func Load(ctx context.Context, store ReadStore, codec Codec, head objectstore.Object, known *Snapshot) (*Snapshot, error) {
	m, err := codec.DecodeManifest(head.Value)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode head object"), ErrInvalid)
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

// loadValue returns the stored form of a resource, from known if it has it.
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

// CommitResult is the result of a commit.
type CommitResult int

// The results of a commit.
const (
	// Committed means that the current revision contains the change.
	Committed CommitResult = iota + 1
	// Unchanged means that the configuration already had the requested content.
	Unchanged
	// Refused means that nothing was committed.
	Refused
	// Unresolved means that the commit may have taken effect, but the platform
	// could not be queried in time.
	Unresolved
)

// CommitOutcome is the result of a commit, with the revision or the cause.
type CommitOutcome struct {
	Result CommitResult
	// Number is the revision that contains the change; 0 if Result is Refused
	// or Unresolved.
	Number uint64
	// Err is nil if Result is Committed or Unchanged.
	Err error
}

// Change returns the configuration that replaces the current one. Each attempt
// of a commit calls it once, after reading the head.
type Change func(ctx context.Context, current config.Config) (config.Config, error)

// CommitRequest is a change to commit.
type CommitRequest struct {
	// Operation identifies the commit. Repeating a commit with the same
	// operation has no further effect.
	Operation string
	Message   string
	Change    Change
	// ForceNewRevision commits a new revision even if the configuration does
	// not change, so that each conditional update that was started earlier
	// fails.
	ForceNewRevision bool
}

// Committer commits revisions by a single conditional update of the head
// object.
type Committer struct {
	store  Store
	codec  Codec
	holder *Holder
}

// NewCommitter returns a committer that reads only the resources from the store
// that the holder's current snapshot lacks.
func NewCommitter(store Store, codec Codec, holder *Holder) *Committer {
	return &Committer{store: store, codec: codec, holder: holder}
}

const (
	// _maxCommitAttempts is the maximum number of attempts of one commit.
	_maxCommitAttempts = 12
	// _initialBackoff is the delay before the second attempt.
	_initialBackoff = 20 * time.Millisecond
	// _maxBackoff is the maximum delay between two attempts.
	_maxBackoff = 2 * time.Second
)

// Commit applies a change to the current configuration. It retries after
// conflicts and while the platform is unavailable. If the answer to a write is
// lost, it reads back whether the write took effect. It stops after
// _maxCommitAttempts attempts or when the context ends.
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

// attempt is the outcome of one attempt of a commit.
type attempt struct {
	outcome CommitOutcome
	// headVersion is the version of the head object that the attempt has read,
	// 0 if there is none. It is not set if headRead is false, because reading
	// failed.
	headVersion uint64
	headRead    bool
	// retry reports whether another attempt may succeed.
	retry bool
}

// finalOutcome returns the outcome of the whole commit, given its last attempt.
// The map holds the versions of the head over which writes with unknown results
// were sent. While the head has one of these versions, or cannot be read, such
// a write may still take effect, and the commit must not be reported as
// refused.
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

// attemptOnce reads the head and makes one attempt to commit.
func (c *Committer) attemptOnce(ctx context.Context, now time.Time, request CommitRequest) attempt {
	base, version, err := c.readHead(ctx)
	if err != nil {
		return attempt{outcome: CommitOutcome{Result: Refused, Err: err}, retry: errors.Is(err, objectstore.ErrUnavailable)}
	}
	a := attempt{headVersion: version, headRead: true}
	a.outcome, a.retry = c.attemptOnHead(ctx, now, request, base, version)
	return a
}

// attemptOnHead makes one attempt to commit on top of the head that was read,
// and reports whether another attempt may succeed.
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

// readHead loads the current revision and returns it with the version of the
// head object. If there is no head object, it returns the holder's snapshot and
// version 0.
func (c *Committer) readHead(ctx context.Context) (*Snapshot, uint64, error) {
	head, err := c.store.Get(ctx, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		// The platform may have lost an earlier head. The next revision
		// continues from the number held by this node, because nodes ignore a
		// revision with a lower number.
		return c.holder.Current(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	m, err := c.codec.DecodeManifest(head.Value)
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "decode head object"), ErrInvalid)
	}
	known := c.holder.Current()
	if known != nil && known.Manifest.Number > m.Number {
		return nil, 0, errors.Wrapf(objectstore.ErrUnavailable, "head object has revision %d, older than revision %d held by this node", m.Number, known.Manifest.Number)
	}
	base, err := Load(ctx, c.store, c.codec, head, known)
	return base, head.Version, err
}

// write stores the resources and then the head of the next revision, and
// reports whether another attempt may succeed after a failure.
func (c *Committer) write(ctx context.Context, base *Snapshot, version uint64, next *Snapshot) (CommitOutcome, bool) {
	value, err := c.codec.EncodeManifest(next.Manifest)
	if err != nil {
		return CommitOutcome{Result: Refused, Err: err}, false
	}
	if len(value) > objectstore.MaxValueBytes {
		err = errors.Newf("manifest has %d bytes, more than the maximum of %d; remove resources", len(value), objectstore.MaxValueBytes)
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

// writeResources creates the objects that the base lacks. An existing object
// has the same content, because its name is the hash of the content.
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
