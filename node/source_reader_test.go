package node

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

// read is one read of a scripted source: what it may be and what it returns.
type read struct {
	allowStale bool
	snapshot   *revision.Snapshot
	err        error
}

// scriptedSource returns the results of its reads in turn.
type scriptedSource struct {
	t     *testing.T
	reads []read
}

func (s *scriptedSource) Next(_ context.Context, allowStale bool) (*revision.Snapshot, error) {
	s.t.Helper()
	assert.Assert(s.t, len(s.reads) > 0, "one read too many")
	next := s.reads[0]
	s.reads = s.reads[1:]
	assert.Equal(s.t, allowStale, next.allowStale)
	return next.snapshot, next.err
}

func sourceSnapshot(t *testing.T, number uint64, workspaces ...config.Workspace) *revision.Snapshot {
	t.Helper()
	s, err := revision.SnapshotAt(wire.Codec{}, number, config.Config{Workspaces: workspaces}, "op")
	assert.NilError(t, err)
	return s
}

// A first configuration with keys, which a stale read returned, is returned only
// after a read that isn't stale, and only if that has none newer.
func TestStaleConfigurationWithKeysIsConfirmed(t *testing.T) {
	acme := config.Workspace{Name: "acme"}
	old, newer, plain := sourceSnapshot(t, 7, acme), sourceSnapshot(t, 8, acme), sourceSnapshot(t, 7)
	for _, test := range []struct {
		name       string
		allowStale bool
		// held is what the node has already; nil for nothing.
		held  *revision.Snapshot
		reads []read
		want  *revision.Snapshot
	}{
		{"confirmed", true, nil, []read{{true, old, nil}, {false, nil, nil}}, old},
		{"replaced", true, nil, []read{{true, old, nil}, {false, newer, nil}}, newer},
		{"the newer one is invalid", true, nil, []read{{true, old, nil}, {false, nil, revision.ErrInvalid}}, old},
		{"store down for a while", true, nil, []read{{true, old, nil}, {false, nil, objectstore.ErrUnavailable}, {false, nil, nil}}, old},
		{"not stale", false, nil, []read{{false, old, nil}}, old},
		{"without workspaces", true, nil, []read{{true, plain, nil}}, plain},
		{"not the first", true, plain, []read{{true, newer, nil}}, newer},
	} {
		holder := revision.NewHolder()
		if test.held != nil {
			holder.Offer(test.held)
		}
		source := &scriptedSource{t: t, reads: test.reads}
		r := sourceReader{source: source, holder: holder}
		var got *revision.Snapshot
		for len(source.reads) > 0 {
			assert.Assert(t, got == nil, test.name)
			got, _ = r.next(context.Background(), test.allowStale)
		}
		assert.Equal(t, got, test.want, test.name)
		assert.Assert(t, !r.isUnconfirmed(), test.name)
	}
}

// A configuration needs no confirmation any more once other nodes have sent one.
func TestStaleConfigurationIsNotConfirmedBesidePeers(t *testing.T) {
	old := sourceSnapshot(t, 7, config.Workspace{Name: "acme"})
	holder := revision.NewHolder()
	source := &scriptedSource{t: t, reads: []read{{true, old, nil}, {false, nil, objectstore.ErrUnavailable}}}
	r := sourceReader{source: source, holder: holder}
	_, err := r.next(context.Background(), true)
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.Assert(t, r.isUnconfirmed())
	holder.Offer(sourceSnapshot(t, 6))
	got, err := r.next(context.Background(), true)
	assert.NilError(t, err)
	assert.Equal(t, got, old)
	assert.Assert(t, !r.isUnconfirmed())
}
