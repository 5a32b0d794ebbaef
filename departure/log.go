// Package departure keeps the confirmed departures of upstreams in the
// platform's object store. Nothing on a VM outlives its processes, and all nodes
// may be killed at once.
package departure

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/upstream"
)

// _maxDepartures bounds the departures that are kept of one node. The processes
// of an upstream follow one another, and only the last ones may still run.
const _maxDepartures = 16

// Store is the part of the object store that a Log uses.
type Store interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome
	Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome
}

// Codec maps departures to their stored form.
type Codec interface {
	EncodeDepartures(departed []upstream.Instance) ([]byte, error)
	DecodeDepartures(value []byte) ([]upstream.Instance, error)
}

// Log is the stored list of the departures from one node's VM. Several processes
// may append to it at the same time. It is safe for concurrent use.
type Log struct {
	store  Store
	codec  Codec
	key    objectstore.Key
	logger klog.Logger

	// isForgotten is set by Forget until the next call.
	isForgotten atomic.Bool
	// token is held while the store is called and the fields below are used.
	token chan struct{}
	// isKnown is set while version and departed are those of the last call.
	isKnown bool
	// version is the object's version; 0 if there is none.
	version uint64
	// departed holds the stored departures, the newest last; at most
	// _maxDepartures.
	departed []upstream.Instance
}

// NewLog returns the log of a node's VM.
func NewLog(store Store, codec Codec, node membership.NodeID, logger klog.Logger) *Log {
	return &Log{
		store: store, codec: codec, key: objectstore.Key{Kind: objectstore.KindDeparture, Name: string(node)}, logger: logger,
		token: make(chan struct{}, 1),
	}
}

// Load reads the log. The error is objectstore.ErrUnavailable or that of the
// context.
func (l *Log) Load(ctx context.Context) ([]upstream.Instance, error) {
	if err := l.acquire(ctx); err != nil {
		return nil, err
	}
	defer l.release()
	if err := l.read(ctx); err != nil {
		return nil, err
	}
	return slices.Clone(l.departed), nil
}

// Append adds those departures that are not stored yet. When it returns nil, the
// store has all of them. The error is objectstore.ErrUnavailable or that of the
// context; the departures may be stored all the same.
func (l *Log) Append(ctx context.Context, departed ...upstream.Instance) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	defer l.release()
	for {
		if l.isForgotten.Swap(false) || !l.isKnown {
			if err := l.read(ctx); err != nil {
				return err
			}
		}
		missing := l.missing(departed)
		if len(missing) == 0 {
			return nil
		}
		err := l.write(ctx, append(slices.Clone(l.departed), missing...))
		if !errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrNotFound) {
			return err
		}
	}
}

// Forget makes the next Append read the log, for a store that was restored.
func (l *Log) Forget() {
	l.isForgotten.Store(true)
}

// missing returns those of the given departures that are not stored.
func (l *Log) missing(departed []upstream.Instance) []upstream.Instance {
	var missing []upstream.Instance
	for _, d := range departed {
		if !slices.Contains(l.departed, d) && !slices.Contains(missing, d) {
			missing = append(missing, d)
		}
	}
	return missing
}

func (l *Log) acquire(ctx context.Context) error {
	select {
	case l.token <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the log of departures")
	}
}

func (l *Log) release() { <-l.token }

// read reads the object. One that can't be decoded is of another writer, and
// counts as empty.
func (l *Log) read(ctx context.Context) error {
	l.isKnown = false
	object, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		l.version, l.departed, l.isKnown = 0, nil, true
		return nil
	case err != nil:
		return errors.Wrapf(err, "read %s", l.key)
	}
	departed, err := l.codec.DecodeDepartures(object.Value)
	if err != nil {
		l.logger.Info("Departures not decoded", "object", l.key.String(), "cause", err.Error())
	}
	l.version, l.departed, l.isKnown = object.Version, departed, true
	return nil
}

// write replaces the object by the newest of the given departures, unless it has
// changed since it was read.
func (l *Log) write(ctx context.Context, departed []upstream.Instance) error {
	departed = departed[max(0, len(departed)-_maxDepartures):]
	value, err := l.codec.EncodeDepartures(departed)
	if err != nil {
		return err
	}
	var outcome objectstore.WriteOutcome
	if l.version == 0 {
		outcome = l.store.Create(ctx, l.key, value)
	} else {
		outcome = l.store.Update(ctx, l.key, l.version, value)
	}
	if outcome.Result != objectstore.Written {
		// The object may have changed, also by this write.
		l.isKnown = false
		return errors.Wrapf(outcome.Err, "write %s", l.key)
	}
	l.version, l.departed = outcome.Version, departed
	return nil
}
