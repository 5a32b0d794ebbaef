// Package fakeplatform is an in-memory stand-in for the platform's object API
// that can show the faults of the real one.
package fakeplatform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/objectstore"
)

// _historyLength is the number of past changes that a watch can return.
const _historyLength = 4_096

// Faults holds the faults of the platform. The zero value has none.
type Faults struct {
	// Down makes each call fail before it takes effect.
	Down bool
	// LoseResponses makes writes take effect and then report an unknown outcome.
	LoseResponses bool
	// Delay is added to each call.
	Delay time.Duration
	// DropEvents keeps changes that are made while it is set out of the history,
	// so that no watch returns them.
	DropEvents bool
	// ReverseEvents returns each batch of watch events newest first.
	ReverseEvents bool
}

// Calls counts calls by type.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
}

// Platform is an in-memory object store. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	objects map[objectstore.Key]objectstore.Object
	// version is the version of the newest write. It never decreases.
	version uint64
	// history holds the newest changes, oldest first.
	history []objectstore.Event
	// compactedVersion is the version up to which changes were removed from
	// the history.
	compactedVersion uint64
	// changed is closed and replaced to notify the pending watches.
	changed chan struct{}
	faults  Faults
	calls   Calls
}

// New returns an empty store.
func New() *Platform {
	return &Platform{
		objects: make(map[objectstore.Key]objectstore.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.SwapFaults(f)
}

// SwapFaults replaces the faults and returns the previous ones.
func (p *Platform) SwapFaults(f Faults) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.faults
	p.faults = f
	p.notifyWatchers()
	return previous
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// CompactHistory removes the whole history, so that watches from an older
// version fail with objectstore.ErrCompacted.
func (p *Platform) CompactHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compactedVersion = p.version
	p.notifyWatchers()
}

// notifyWatchers wakes the pending watches. The caller must hold p.mu.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// startCall counts a call, delays it, and returns the faults that apply to it.
// It returns an error if the call fails.
func (p *Platform) startCall(ctx context.Context, count func(*Calls)) (Faults, error) {
	p.mu.Lock()
	count(&p.calls)
	faults := p.faults
	p.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return faults, errors.Mark(ctx.Err(), objectstore.ErrUnavailable)
		}
	}
	if faults.Down {
		return faults, errors.Wrap(objectstore.ErrUnavailable, "stand-in is down")
	}
	return faults, nil
}

// Get returns an object, or objectstore.ErrNotFound.
func (p *Platform) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	if _, err := p.startCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return objectstore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	if !ok {
		return objectstore.Object{}, errors.Wrapf(objectstore.ErrNotFound, "get %s", key)
	}
	return object, nil
}

// List returns all objects of a kind, ordered by name, and the version to watch
// from.
func (p *Platform) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error) {
	if _, err := p.startCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var objects []objectstore.Object
	for key, object := range p.objects {
		if key.Kind == kind {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b objectstore.Object) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return objects, p.version, nil
}

// Create writes an object, on condition that it does not exist.
func (p *Platform) Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome {
	return p.write(ctx, key, func(_ objectstore.Object, found bool) bool { return !found }, value, false)
}

// Update writes an object, on condition that it has the given version.
func (p *Platform) Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome {
	return p.write(ctx, key, hasVersion(version), value, false)
}

// Delete removes an object, on condition that it has the given version.
func (p *Platform) Delete(ctx context.Context, key objectstore.Key, version uint64) objectstore.WriteOutcome {
	return p.write(ctx, key, hasVersion(version), nil, true)
}

// hasVersion returns the precondition that an object exists at the version.
func hasVersion(version uint64) func(objectstore.Object, bool) bool {
	return func(o objectstore.Object, found bool) bool { return found && o.Version == version }
}

// write starts a call and applies its write, subject to the faults.
func (p *Platform) write(
	ctx context.Context,
	key objectstore.Key,
	precondition func(objectstore.Object, bool) bool,
	value []byte,
	remove bool,
) objectstore.WriteOutcome {
	faults, err := p.startCall(ctx, func(c *Calls) { c.Writes++ })
	if err != nil {
		return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: err}
	}
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.WriteOutcome{Result: objectstore.NotWritten, Err: objectstore.ErrTooLarge}
	}
	outcome := p.apply(key, precondition, value, remove)
	if faults.LoseResponses {
		return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: errors.Wrap(objectstore.ErrUnavailable, "response was lost")}
	}
	return outcome
}

// apply writes or removes an object if the precondition holds.
func (p *Platform) apply(key objectstore.Key, precondition func(objectstore.Object, bool) bool, value []byte, remove bool) objectstore.WriteOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, found := p.objects[key]
	if !precondition(object, found) {
		return objectstore.WriteOutcome{Result: objectstore.NotWritten, Err: errors.Wrapf(objectstore.ErrConflict, "write %s", key)}
	}
	p.version++
	object = objectstore.Object{Key: key, Version: p.version, Value: slices.Clone(value)}
	if remove {
		delete(p.objects, key)
	} else {
		p.objects[key] = object
	}
	p.appendHistory(objectstore.Event{Object: object, Deleted: remove})
	return objectstore.WriteOutcome{Result: objectstore.Written, Version: p.version}
}

// appendHistory appends a change to the history and wakes the pending watches.
// The caller must hold p.mu.
func (p *Platform) appendHistory(e objectstore.Event) {
	if p.faults.DropEvents {
		return
	}
	p.history = append(p.history, e)
	if len(p.history) > _historyLength {
		p.compactedVersion = p.history[0].Object.Version
		p.history = p.history[1:]
	}
	p.notifyWatchers()
}

// Watch returns the changes of a kind after the given version. It waits until
// there is one or the context ends; then it returns no events and no error.
func (p *Platform) Watch(ctx context.Context, kind objectstore.Kind, after uint64) (objectstore.EventBatch, error) {
	if _, err := p.startCall(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return objectstore.EventBatch{}, err
	}
	for {
		events, changed, err := p.eventsAfter(kind, after)
		if err != nil || len(events.Events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return events, nil
		}
	}
}

// eventsAfter returns the changes of a kind after the given version, and a
// channel that is closed at the next change.
func (p *Platform) eventsAfter(kind objectstore.Kind, after uint64) (objectstore.EventBatch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return objectstore.EventBatch{}, nil, errors.Wrap(objectstore.ErrUnavailable, "stand-in is down")
	}
	if after < p.compactedVersion {
		return objectstore.EventBatch{}, nil, errors.Wrapf(objectstore.ErrCompacted, "watch %s after %d", kind, after)
	}
	events := objectstore.EventBatch{Next: p.version}
	for _, e := range p.history {
		if e.Object.Key.Kind == kind && e.Object.Version > after {
			events.Events = append(events.Events, e)
		}
	}
	if p.faults.ReverseEvents {
		slices.Reverse(events.Events)
	}
	return events, p.changed, nil
}
