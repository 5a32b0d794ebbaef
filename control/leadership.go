package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/wire"
)

// LeaseKey is the key of the controller's lease on the platform.
var LeaseKey = objectstore.Key{Kind: objectstore.KindLease, Name: "controller"}

// leadership acquires, renews and releases a lease on the platform. The lease
// elects the one active controller.
type leadership struct {
	platform Platform
	lease    *lease.Lease
	now      func() time.Time
}

// maintain reads or writes the lease object if that is due.
func (l *leadership) maintain(ctx context.Context) error {
	now := l.now()
	switch action := l.lease.Next(now); action.Kind {
	case lease.Read:
		return l.read(ctx)
	case lease.Create, lease.Update:
		return l.write(ctx, now, action)
	default:
		return nil
	}
}

func (l *leadership) read(ctx context.Context) error {
	object, err := l.platform.Get(ctx, LeaseKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.lease.ObserveAbsent(l.now())
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the controller's lease")
	}
	record, err := wire.UnmarshalLease(object.Value)
	if err != nil {
		return err
	}
	l.lease.Observe(l.now(), record, object.Version)
	return nil
}

func (l *leadership) write(ctx context.Context, sent time.Time, action lease.Action) error {
	value, err := wire.MarshalLease(action.Record)
	if err != nil {
		return err
	}
	var outcome objectstore.WriteOutcome
	if action.Kind == lease.Create {
		outcome = l.platform.Create(ctx, LeaseKey, value)
	} else {
		outcome = l.platform.Update(ctx, LeaseKey, action.Version, value)
	}
	if outcome.Result == objectstore.Written {
		l.lease.WriteSucceeded(sent, action.Record, outcome.Version)
		return nil
	}
	l.lease.WriteUnconfirmed()
	if outcome.Result == objectstore.Unknown {
		return errors.Wrap(outcome.Err, "write the controller's lease")
	}
	return nil
}

// release frees the lease, so that another controller can take over at once.
func (l *leadership) release(ctx context.Context) {
	now := l.now()
	if action, ok := l.lease.Release(now); ok {
		// If this fails, another controller takes over once the lease expires.
		_ = l.write(ctx, now, action)
	}
}
