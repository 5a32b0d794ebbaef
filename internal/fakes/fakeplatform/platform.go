// Package fakeplatform is a small stand-in for the platform's object API,
// with the failures that the real one has.
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

// _historyLength is how many changes a watch can look back on.
const _historyLength = 4_096

// Faults are the failures that the store shows while they are set.
type Faults struct {
	// Down fails each call before it takes effect.
	Down bool
	// LoseResponses lets writes take effect and then loses their answers.
	LoseResponses bool
	// Delay holds each call back.
	Delay time.Duration
	// DropEvents leaves the changes that happen meanwhile out of watches.
	DropEvents bool
	// ReverseEvents hands each batch of watch events out newest first.
	ReverseEvents bool
}

// Calls counts the calls to the store.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
}

// Platform is an in-memory object store.
type Platform struct {
	mu      sync.Mutex
	objects map[objectstore.Key]objectstore.Object
	// version is that of the newest write and only grows.
	version uint64
	// history holds the newest changes, oldest first.
	history   []objectstore.Event
	compacted uint64
	changed   chan struct{}
	faults    Faults
	calls     Calls
}

// New returns an empty store.
func New() *Platform {
	return &Platform{
		objects: make(map[objectstore.Key]objectstore.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the failures that the store shows.
func (p *Platform) SetFaults(f Faults) {
	p.SwapFaults(f)
}

// SwapFaults replaces the failures and returns those before.
func (p *Platform) SwapFaults(f Faults) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults
	p.faults = f
	p.wake()
	return before
}

// Calls returns how many calls the store has had.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// CompactHistory makes watches that look back fail.
func (p *Platform) CompactHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compacted = p.version
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin counts a call, holds it back and reports whether it fails.
func (p *Platform) begin(ctx context.Context, count func(*Calls)) (Faults, error) {
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
		return faults, errors.Wrap(objectstore.ErrUnavailable, "the stand-in is down")
	}
	return faults, nil
}

// Get reads one object.
func (p *Platform) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	if _, err := p.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return objectstore.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[key]
	if !ok {
		return objectstore.Object{}, errors.Wrapf(objectstore.ErrNotFound, "read %s", key)
	}
	return object, nil
}

// List reads all objects of a kind.
func (p *Platform) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error) {
	if _, err := p.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
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

// Create writes an object that must not exist.
func (p *Platform) Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome {
	return p.write(ctx, key, func(_ objectstore.Object, found bool) bool { return !found }, value, false)
}

// Update writes an object that must have the given version.
func (p *Platform) Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome {
	return p.write(ctx, key, hasVersion(version), value, false)
}

// Delete removes an object that must have the given version.
func (p *Platform) Delete(ctx context.Context, key objectstore.Key, version uint64) objectstore.WriteOutcome {
	return p.write(ctx, key, hasVersion(version), nil, true)
}

func hasVersion(version uint64) func(objectstore.Object, bool) bool {
	return func(o objectstore.Object, found bool) bool { return found && o.Version == version }
}

func (p *Platform) write(
	ctx context.Context,
	key objectstore.Key,
	holds func(objectstore.Object, bool) bool,
	value []byte,
	remove bool,
) objectstore.WriteOutcome {
	faults, err := p.begin(ctx, func(c *Calls) { c.Writes++ })
	if err != nil {
		return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: err}
	}
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.WriteOutcome{Result: objectstore.NotWritten, Err: objectstore.ErrTooLarge}
	}
	outcome := p.apply(key, holds, value, remove)
	if faults.LoseResponses {
		return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: errors.Wrap(objectstore.ErrUnavailable, "the answer was lost")}
	}
	return outcome
}

func (p *Platform) apply(key objectstore.Key, holds func(objectstore.Object, bool) bool, value []byte, remove bool) objectstore.WriteOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, found := p.objects[key]
	if !holds(object, found) {
		return objectstore.WriteOutcome{Result: objectstore.NotWritten, Err: errors.Wrapf(objectstore.ErrConflict, "write %s", key)}
	}
	p.version++
	object = objectstore.Object{Key: key, Version: p.version, Value: slices.Clone(value)}
	if remove {
		delete(p.objects, key)
	} else {
		p.objects[key] = object
	}
	p.record(objectstore.Event{Object: object, Deleted: remove})
	return objectstore.WriteOutcome{Result: objectstore.Written, Version: p.version}
}

func (p *Platform) record(e objectstore.Event) {
	if p.faults.DropEvents {
		return
	}
	p.history = append(p.history, e)
	if len(p.history) > _historyLength {
		p.compacted = p.history[0].Object.Version
		p.history = p.history[1:]
	}
	p.wake()
}

// Watch waits until an object of the kind changes after the given version,
// or the context ends, which gives no events.
func (p *Platform) Watch(ctx context.Context, kind objectstore.Kind, after uint64) (objectstore.EventBatch, error) {
	if _, err := p.begin(ctx, func(c *Calls) { c.Watches++ }); err != nil {
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

func (p *Platform) eventsAfter(kind objectstore.Kind, after uint64) (objectstore.EventBatch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return objectstore.EventBatch{}, nil, errors.Wrap(objectstore.ErrUnavailable, "the stand-in is down")
	}
	if after < p.compacted {
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
