package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/revision"
)

// sourceReader reads configurations from their source. It returns no
// configuration that may lack the withdrawal of a key: a stale read may return
// one to a node that has just started, and then that node would accept the key.
// Such a configuration is confirmed by a read that isn't stale. It is not safe
// for concurrent use.
type sourceReader struct {
	source ConfigSource
	holder *revision.Holder
	// unconfirmed is a configuration from a stale read that is still to be
	// confirmed; nil for none.
	unconfirmed *revision.Snapshot
}

// isUnconfirmed reports whether a configuration is still to be confirmed.
func (r *sourceReader) isUnconfirmed() bool {
	return r.unconfirmed != nil
}

// next is like ConfigSource.Next. With revision.ErrInvalid it may also return a
// configuration, which is the newest valid one.
func (r *sourceReader) next(ctx context.Context, allowStale bool) (*revision.Snapshot, error) {
	if r.unconfirmed == nil {
		snapshot, err := r.source.Next(ctx, allowStale)
		if snapshot == nil || !allowStale || !r.needsConfirmation(snapshot) {
			return snapshot, err
		}
		r.unconfirmed = snapshot
	}
	if !r.needsConfirmation(r.unconfirmed) {
		// Other nodes have sent a configuration meanwhile.
		snapshot := r.unconfirmed
		r.unconfirmed = nil
		return snapshot, nil
	}
	newer, err := r.source.Next(ctx, false)
	if err != nil && !errors.Is(err, revision.ErrInvalid) {
		return nil, err
	}
	confirmed := r.unconfirmed
	r.unconfirmed = nil
	if newer != nil && newer.Manifest.Number > confirmed.Manifest.Number {
		return newer, err
	}
	return confirmed, err
}

// needsConfirmation reports whether a configuration has keys and is the first
// one of this node.
func (r *sourceReader) needsConfirmation(snapshot *revision.Snapshot) bool {
	return len(snapshot.Config.Workspaces) > 0 && r.holder.Number() == 0
}
