package revision_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/distribution"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

var _now = time.Unix(1_800_000_000, 0)

// validConfig returns a valid configuration that depends on n.
func validConfig(n int) config.Config {
	return config.Config{
		Services: []config.Service{{Name: "s", Weights: []config.Weight{{Version: "v1", Share: config.FullShare}}}},
		Versions: []config.Version{{Service: "s", Name: "v1"}},
		Routes: []config.Route{{
			Name: "r", Service: "s", PathPrefix: fmt.Sprintf("/%d", n),
			Class: config.ClassLookup, Timeout: time.Second,
		}},
	}
}

// replaceWith returns a change that replaces the whole configuration.
func replaceWith(c config.Config) revision.Change {
	return func(context.Context, config.Config) (config.Config, error) { return c, nil }
}

// commit commits a configuration with a timeout of 300 ms.
func commit(p revision.Store, h *revision.Holder, operation string, c config.Config) revision.CommitOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return revision.NewCommitter(p, wire.Codec{}, h).Commit(ctx, _now, revision.CommitRequest{Operation: operation, Change: replaceWith(c)})
}

// headNumber returns the number of the revision that the platform stores.
func headNumber(t assert.TestingT, p *fakeplatform.Platform) uint64 {
	object, err := p.Get(context.Background(), revision.HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return 0
	}
	assert.NilError(t, err)
	m, err := wire.Codec{}.DecodeManifest(object.Value)
	assert.NilError(t, err)
	return m.Number
}

// A commit that is reported as committed is in the head, and one that is
// reported as refused is not, even if the platform is down or loses its
// answers.
func TestCommitUnderFaults(t *testing.T) {
	p := fakeplatform.New()
	h := revision.NewHolder()
	assert.Equal(t, commit(p, h, "op-0", validConfig(0)).Result, revision.Committed)

	p.SetFaults(fakeplatform.Faults{Down: true})
	got := commit(p, h, "op-1", validConfig(1))
	assert.Equal(t, got.Result, revision.Refused)
	assert.Assert(t, errors.Is(got.Err, objectstore.ErrUnavailable))
	p.SetFaults(fakeplatform.Faults{})
	assert.Equal(t, headNumber(t, p), uint64(1))

	// The platform stores each resource but its answer is lost, so that the
	// head is never written.
	p.SetFaults(fakeplatform.Faults{LoseResponses: true})
	got = commit(p, h, "op-2", validConfig(2))
	assert.Equal(t, got.Result, revision.Refused, "no resource write was acknowledged, so the head must not be written: %v", got.Err)
	p.SetFaults(fakeplatform.Faults{})
	assert.Equal(t, headNumber(t, p), uint64(1))
}

// lostAnswerHead is a platform that loses the answers to successful updates of
// the head only.
type lostAnswerHead struct {
	*fakeplatform.Platform
	// downAfter makes the platform unavailable after the lost answer.
	downAfter bool
	// before runs before each update of the head.
	before func()
}

func (l lostAnswerHead) Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome {
	if l.before != nil {
		l.before()
	}
	outcome := l.Platform.Update(ctx, key, version, value)
	if outcome.Result != objectstore.Written {
		return outcome
	}
	if l.downAfter {
		l.SetFaults(fakeplatform.Faults{Down: true})
	}
	return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: objectstore.ErrUnavailable}
}

// If the answer to an update of the head is lost, the commit reads back and
// reports success. If the platform is also down, the commit is unresolved until
// it is repeated.
func TestLostAnswerToHeadWrite(t *testing.T) {
	p := fakeplatform.New()
	assert.Equal(t, commit(p, revision.NewHolder(), "op-0", validConfig(0)).Result, revision.Committed)

	got := commit(lostAnswerHead{Platform: p}, revision.NewHolder(), "op-1", validConfig(1))
	assert.Equal(t, got.Result, revision.Committed, "%v", got.Err)
	assert.Equal(t, got.Number, uint64(2))

	got = commit(lostAnswerHead{Platform: p, downAfter: true}, revision.NewHolder(), "op-2", validConfig(2))
	assert.Equal(t, got.Result, revision.Unresolved)
	p.SetFaults(fakeplatform.Faults{})
	assert.Equal(t, headNumber(t, p), uint64(3))

	// Repeating the operation when the platform is available again resolves it.
	got = commit(p, revision.NewHolder(), "op-2", validConfig(2))
	assert.Equal(t, got.Result, revision.Committed)
	assert.Equal(t, got.Number, uint64(3))
	assert.Equal(t, headNumber(t, p), uint64(3))
}

// A write whose answer was lost may still be in flight when a later attempt is
// refused. While the head is unchanged, the commit must not be reported as
// refused.
func TestInFlightWriteIsNotRefused(t *testing.T) {
	for _, headMoved := range []bool{false, true} {
		p := fakeplatform.New()
		assert.Equal(t, commit(p, revision.NewHolder(), "op-0", validConfig(0)).Result, revision.Committed)
		attempts := 0
		got := revision.NewCommitter(unresponsiveHead{Platform: p}, wire.Codec{}, revision.NewHolder()).Commit(context.Background(), _now, revision.CommitRequest{
			Operation: "op-1",
			Change: func(context.Context, config.Config) (config.Config, error) {
				if attempts++; attempts == 1 {
					return validConfig(1), nil
				}
				return config.Config{}, errors.New("no longer wanted")
			},
		})
		assert.Equal(t, got.Result, revision.Unresolved, "%v", got.Err)
		if headMoved {
			assert.Equal(t, commit(p, revision.NewHolder(), "op-2", validConfig(2)).Result, revision.Committed)
			got = commit(p, revision.NewHolder(), "op-1", config.Config{Routes: validConfig(0).Routes})
			assert.Equal(t, got.Result, revision.Refused)
		}
	}
}

// unresponsiveHead does not answer updates of the head, as if each were delayed
// for longer than its caller waits.
type unresponsiveHead struct{ *fakeplatform.Platform }

func (unresponsiveHead) Update(context.Context, objectstore.Key, uint64, []byte) objectstore.WriteOutcome {
	return objectstore.WriteOutcome{Result: objectstore.Unknown, Err: objectstore.ErrUnavailable}
}

// If the platform has lost its objects, the next commit continues from the
// revision that the node holds, with a higher number, because nodes ignore a
// revision whose number is not higher than their own.
func TestLostHeadIsRecreatedFromHolder(t *testing.T) {
	h := revision.NewHolder()
	before := fakeplatform.New()
	for i := range 3 {
		assert.Equal(t, commit(before, h, fmt.Sprint("op-", i), validConfig(i)).Result, revision.Committed)
	}
	empty := fakeplatform.New()
	got := commit(empty, h, "op-2", validConfig(2))
	assert.Equal(t, got.Result, revision.Committed, "%v", got.Err)
	assert.Equal(t, got.Number, uint64(4))
	object, err := empty.Get(context.Background(), revision.HeadKey)
	assert.NilError(t, err)
	_, err = revision.Load(context.Background(), empty, wire.Codec{}, object, nil)
	assert.NilError(t, err)
}

// A committer that is paused between reading and writing the head does not
// overwrite a revision that was committed in the meantime.
func TestPausedCommitterDoesNotOverwrite(t *testing.T) {
	p := fakeplatform.New()
	assert.Equal(t, commit(p, revision.NewHolder(), "op-0", validConfig(0)).Result, revision.Committed)
	var once sync.Once
	pausedPlatform := lostAnswerHead{Platform: p, before: func() {
		once.Do(func() { commit(p, revision.NewHolder(), "concurrent", validConfig(7)) })
	}}
	attempts := 0
	got := revision.NewCommitter(pausedPlatform, wire.Codec{}, revision.NewHolder()).Commit(context.Background(), _now, revision.CommitRequest{
		Operation: "paused",
		Change: func(_ context.Context, current config.Config) (config.Config, error) {
			attempts++
			current.Routes = append(current.Routes, config.Route{Name: "more", Service: "s", PathPrefix: "/more", Class: config.ClassLookup, Timeout: time.Second})
			return current, nil
		},
	})
	assert.Equal(t, got.Result, revision.Committed)
	assert.Equal(t, got.Number, uint64(3))
	assert.Equal(t, attempts, 2)
	object, err := p.Get(context.Background(), revision.HeadKey)
	assert.NilError(t, err)
	s, err := revision.Load(context.Background(), p, wire.Codec{}, object, nil)
	assert.NilError(t, err)
	assert.Equal(t, s.Config.Routes[1].PathPrefix, "/7", "the concurrent commit was overwritten")
}

// Concurrent commits are all applied, each exactly once.
func TestConcurrentCommitsTakeEffectOnce(t *testing.T) {
	p := fakeplatform.New()
	assert.Equal(t, commit(p, revision.NewHolder(), "op", validConfig(0)).Result, revision.Committed)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			got := revision.NewCommitter(p, wire.Codec{}, revision.NewHolder()).Commit(context.Background(), _now, revision.CommitRequest{
				Operation: fmt.Sprint("op-", i),
				Change: func(_ context.Context, current config.Config) (config.Config, error) {
					current.Routes = append(current.Routes, config.Route{
						Name: config.RouteName(fmt.Sprint("r", i)), Service: "s", PathPrefix: fmt.Sprint("/r", i),
						Class: config.ClassLookup, Timeout: time.Second,
					})
					return current, nil
				},
			})
			assert.Check(t, got.Result == revision.Committed, "%v", got.Err)
		})
	}
	group.Wait()
	assert.Equal(t, headNumber(t, p), uint64(7))
}

// An invalid configuration is refused as a whole, and the error names the field
// at fault.
func TestInvalidRevisionIsRefused(t *testing.T) {
	invalid := validConfig(1)
	invalid.Routes[0].Service = "missing"
	got := commit(fakeplatform.New(), revision.NewHolder(), "op", invalid)
	assert.Equal(t, got.Result, revision.Refused)
	assert.ErrorContains(t, got.Err, `routes[r].service: service "missing" does not exist`)
}

// buildChain returns a chain of snapshots, one for each configuration.
func buildChain(t assert.TestingT, configs ...config.Config) []*revision.Snapshot {
	var chain []*revision.Snapshot
	var last *revision.Snapshot
	for i, c := range configs {
		next, err := revision.Next(wire.Codec{}, last, c, fmt.Sprint("op-", i), "", _now)
		assert.NilError(t, err)
		chain = append(chain, next)
		last = next
	}
	return chain
}

// A holder only accepts higher revision numbers, and clears a refusal once a
// newer revision is current.
func TestHolderNumberNeverDecreases(t *testing.T) {
	chain := buildChain(t, validConfig(0), validConfig(1), validConfig(2))
	h := revision.NewHolder()
	assert.Equal(t, h.Offer(chain[1]), revision.Applied)
	assert.Equal(t, h.Offer(chain[0]), revision.Stale)
	assert.Equal(t, h.Offer(chain[1]), revision.Stale)
	assert.Equal(t, h.Number(), uint64(2))
	changed := h.Changed()
	assert.Equal(t, h.Offer(chain[2]), revision.Applied)
	<-changed
	// A refusal of a revision older than the current one is ignored.
	h.Refuse(2, "old")
	assert.Equal(t, h.Refusal().Number, uint64(0))
}

// Whether bundles arrive out of order, more than once, corrupted or not at all,
// the revision of a replica never decreases, and a replica never holds anything
// but a committed revision. It reaches the newest one when it receives that in
// full.
func TestReplicaUnderLossReorderingAndCorruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs := make([]config.Config, 6)
		for i := range configs {
			configs[i] = validConfig(rapid.IntRange(0, 2).Draw(t, "config"))
		}
		chain := buildChain(t, configs...)
		sources := make([]*distribution.Replica, len(chain))
		for i := range chain {
			h := revision.NewHolder()
			for _, s := range chain[:i+1] {
				h.Offer(s)
			}
			sources[i] = distribution.New(wire.Codec{}, h)
		}
		holder := revision.NewHolder()
		replica := distribution.New(wire.Codec{}, holder)
		for range rapid.IntRange(0, 30).Draw(t, "deliveries") {
			before := holder.Number()
			from := sources[rapid.IntRange(0, len(sources)-1).Draw(t, "from")]
			b, ok := from.BundleFor(uint64(rapid.IntRange(0, len(chain)).Draw(t, "have")))
			if !ok {
				continue
			}
			corrupt(t, &b)
			outcome := replica.Receive(b)
			number := holder.Number()
			assert.Assert(t, number >= before, "revision decreased from %d to %d", before, number)
			assert.Equal(t, outcome.Result == distribution.Applied, number > before)
			if number > 0 {
				assert.Assert(t, holder.Current().Manifest.Hash() == chain[number-1].Manifest.Hash())
			}
		}
		full, _ := sources[len(sources)-1].BundleFor(0)
		replica.Receive(full)
		assert.Equal(t, holder.Number(), uint64(len(chain)))
	})
}

// corrupt damages a bundle in a random way, or leaves it as it is.
func corrupt(t *rapid.T, b *distribution.Bundle) {
	switch rapid.IntRange(0, 5).Draw(t, "corruption") {
	case 0:
		b.Values = b.Values[:len(b.Values)/2]
	case 1:
		if len(b.Values) > 0 {
			b.Values[0] = append([]byte{1}, b.Values[0]...)
		}
	case 2:
		// A peer that reports a wrong revision number.
		b.Manifest.Number += 5
	case 3:
		b.Changed = nil
	}
}

// A revision that was written by a newer version of the software and has an
// unknown kind of resource is refused as a whole and recorded as refused. The
// next valid revision is applied.
func TestUnknownResourceIsRefused(t *testing.T) {
	chain := buildChain(t, validConfig(0), validConfig(1))
	holder := revision.NewHolder()
	replica := distribution.New(wire.Codec{}, holder)
	holder.Offer(chain[0])
	newer := chain[1].Manifest
	value := []byte{0x7a, 0x00}
	newer.Entries = append(newer.Entries, revision.Entry{Key: revision.EntryKey{Kind: 9, Name: "new"}, Hash: revision.HashOf(value)})
	bundle := distribution.Bundle{Manifest: newer, Hash: newer.Hash(), Values: [][]byte{value}}
	for _, v := range chain[1].Values {
		bundle.Values = append(bundle.Values, v)
	}
	assert.Equal(t, replica.Receive(bundle).Result, distribution.Refused)
	assert.Equal(t, holder.Number(), uint64(1))
	assert.Equal(t, holder.Refusal().Number, uint64(2))
	next, err := revision.Next(wire.Codec{}, chain[1], validConfig(2), "op", "", _now)
	assert.NilError(t, err)
	assert.Equal(t, holder.Offer(next), revision.Applied)
	assert.Equal(t, holder.Refusal().Number, uint64(0))
}
