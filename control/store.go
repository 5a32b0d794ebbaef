// Package control runs rollouts on the platform: it stores them, carries out
// operators' requests, and lets the one controller that holds the lease make
// their transitions.
package control

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/rollout"
	"lentilferry.example/lentilferry/wire"
)

// Platform is the part of the platform's object API that rollouts and leases
// need.
type Platform interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error)
	Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome
	Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome
}

// ErrUnresolved means that a write may have taken effect, and that reading back
// from the platform did not resolve it in time.
var ErrUnresolved = errors.New("the outcome is not known")

// storedRollout is a rollout with its object version on the platform.
type storedRollout struct {
	rollout rollout.Rollout
	// version is 0 when the platform holds no rollout.
	version uint64
}

// store keeps the last rollout of each service as an object on the platform.
type store struct {
	platform Platform
}

func rolloutKey(service config.ServiceName) objectstore.Key {
	return objectstore.Key{Kind: objectstore.KindRollout, Name: string(service)}
}

// serviceOfRollout returns the service of a rollout ID.
func serviceOfRollout(id string) config.ServiceName {
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		return config.ServiceName(id[:dot])
	}
	return config.ServiceName(id)
}

// load reads a service's last rollout. The result has version 0 for a service
// without one.
func (s store) load(ctx context.Context, service config.ServiceName) (storedRollout, error) {
	object, err := s.platform.Get(ctx, rolloutKey(service))
	if errors.Is(err, objectstore.ErrNotFound) {
		return storedRollout{}, nil
	}
	if err != nil {
		return storedRollout{}, errors.Wrapf(err, "read the rollout of %s", service)
	}
	return decodeRollout(object)
}

func decodeRollout(object objectstore.Object) (storedRollout, error) {
	r, err := wire.UnmarshalRollout(object.Value)
	if err != nil {
		return storedRollout{}, err
	}
	return storedRollout{rollout: r, version: object.Version}, nil
}

// list reads the last rollout of each service. A rollout that can't be decoded
// is named in the error and left out; the others are returned along with the
// error.
func (s store) list(ctx context.Context) ([]storedRollout, error) {
	objects, _, err := s.platform.List(ctx, objectstore.KindRollout)
	if err != nil {
		return nil, errors.Wrap(err, "list rollouts")
	}
	all := make([]storedRollout, 0, len(objects))
	var combined error
	for _, object := range objects {
		decoded, err := decodeRollout(object)
		if err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "object %s", object.Key))
			continue
		}
		all = append(all, decoded)
	}
	return all, combined
}

// save stores a rollout over the version that it was read at. A lost response
// is resolved by reading back. The error is objectstore.ErrConflict when
// another write came first, and ErrUnresolved when reading back failed.
func (s store) save(ctx context.Context, r rollout.Rollout, version uint64) (storedRollout, error) {
	value, err := wire.MarshalRollout(r)
	if err != nil {
		return storedRollout{}, err
	}
	outcome := s.write(ctx, r.Service, version, value)
	switch outcome.Result {
	case objectstore.Written:
		return storedRollout{rollout: r, version: outcome.Version}, nil
	case objectstore.NotWritten:
		return storedRollout{}, errors.Wrapf(outcome.Err, "store rollout %s", r.ID)
	default:
		return s.resolve(ctx, r, version, value)
	}
}

// write creates the rollout object if version is 0 and updates it otherwise.
func (s store) write(ctx context.Context, service config.ServiceName, version uint64, value []byte) objectstore.WriteOutcome {
	if version == 0 {
		return s.platform.Create(ctx, rolloutKey(service), value)
	}
	return s.platform.Update(ctx, rolloutKey(service), version, value)
}

// _maxResolveAttempts is the maximum number of reads to resolve one lost
// response.
const _maxResolveAttempts = 3

// resolve finds out whether a write whose response was lost took effect. While
// the old version is still there it writes again: the version condition lets
// only one of the writes take effect.
func (s store) resolve(ctx context.Context, r rollout.Rollout, version uint64, value []byte) (storedRollout, error) {
	for range _maxResolveAttempts {
		object, err := s.platform.Get(ctx, rolloutKey(r.Service))
		switch {
		case errors.Is(err, objectstore.ErrNotFound) && version == 0, err == nil && object.Version == version:
			if outcome := s.write(ctx, r.Service, version, value); outcome.Result == objectstore.Written {
				return storedRollout{rollout: r, version: outcome.Version}, nil
			}
		case err == nil && bytes.Equal(object.Value, value):
			return storedRollout{rollout: r, version: object.Version}, nil
		case err == nil:
			return storedRollout{}, errors.Wrapf(objectstore.ErrConflict, "store rollout %s", r.ID)
		}
	}
	return storedRollout{}, errors.Wrapf(ErrUnresolved, "store rollout %s", r.ID)
}
