// Package distribution transfers revisions between nodes: as a diff from a
// revision that the requesting node holds, or in full if that node is too far
// behind. It does no I/O.
package distribution

import (
	"slices"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/revision"
)

// Bundle carries one revision, in full or as a diff.
type Bundle struct {
	// Manifest has no entries when Base is not 0.
	Manifest revision.Manifest
	// Base is the number of the revision that the diff starts from; 0 for a
	// full revision.
	Base uint64
	// Changed holds the entries of the diff that are new or have new content.
	Changed []revision.Entry
	// Removed holds the entries of the base that the revision no longer has.
	Removed []revision.Entry
	// Values are the stored forms of the resources that the base lacks.
	Values [][]byte
	// Hash is the hash of the full manifest.
	Hash revision.Hash
}

// ReceiveResult is the result of receiving a bundle.
type ReceiveResult int

// The results of receiving a bundle.
const (
	// Applied means that the bundle's revision is now the current one.
	Applied ReceiveResult = iota + 1
	// Stale means that the current revision is the same or newer.
	Stale
	// NeedsFull means that the diff cannot be applied: its base is not the
	// current revision, a resource is missing, or the result does not match the
	// hash of the manifest. The full revision must be requested.
	NeedsFull
	// Refused means that the revision is invalid. The current one stays in use.
	Refused
)

// ReceiveOutcome is the result of receiving a bundle and its cause.
type ReceiveOutcome struct {
	Result ReceiveResult
	// Err is nil if Result is Applied or Stale.
	Err error
}

// Replica sends and receives revisions for one node.
type Replica struct {
	codec  revision.Codec
	holder *revision.Holder
}

// New returns a replica that uses the node's holder.
func New(codec revision.Codec, holder *revision.Holder) *Replica {
	return &Replica{codec: codec, holder: holder}
}

// BundleFor returns the bundle that brings a node from the revision have to the
// current one. It returns false if the current revision is not newer. A have of
// 0 requests the full revision.
func (r *Replica) BundleFor(have uint64) (Bundle, bool) {
	current := r.holder.Current()
	if current == nil || current.Manifest.Number <= have {
		return Bundle{}, false
	}
	bundle := Bundle{Manifest: current.Manifest, Hash: current.Manifest.Hash()}
	base, ok := r.holder.RecentManifest(have)
	if have == 0 || !ok {
		bundle.Values = allValues(current)
		return bundle, true
	}
	bundle.Base = have
	bundle.Manifest.Entries = nil
	bundle.Changed, bundle.Removed = diffEntries(base.Entries, current.Manifest.Entries)
	for _, e := range bundle.Changed {
		bundle.Values = append(bundle.Values, current.Values[e.Hash])
	}
	return bundle, true
}

// allValues returns the stored forms of all resources of a snapshot.
func allValues(s *revision.Snapshot) [][]byte {
	values := make([][]byte, 0, len(s.Manifest.Entries))
	for _, e := range s.Manifest.Entries {
		values = append(values, s.Values[e.Hash])
	}
	return values
}

// diffEntries compares two sorted lists of entries.
func diffEntries(from, to []revision.Entry) (changed, removed []revision.Entry) {
	i := 0
	for _, e := range to {
		for i < len(from) && from[i].Key.Compare(e.Key) < 0 {
			removed = append(removed, from[i])
			i++
		}
		same := i < len(from) && from[i].Key == e.Key
		if !same || from[i].Hash != e.Hash {
			changed = append(changed, e)
		}
		if same {
			i++
		}
	}
	return changed, append(removed, from[i:]...)
}

// Receive verifies a bundle completely and makes its revision the current one
// if it is newer.
func (r *Replica) Receive(bundle Bundle) ReceiveOutcome {
	current := r.holder.Current()
	if current != nil && bundle.Manifest.Number <= current.Manifest.Number {
		return ReceiveOutcome{Result: Stale}
	}
	m, err := r.resolveManifest(bundle, current)
	if err != nil {
		return ReceiveOutcome{Result: NeedsFull, Err: err}
	}
	values := make(map[revision.Hash][]byte, len(m.Entries))
	if current != nil {
		for hash, value := range current.Values {
			values[hash] = value
		}
	}
	for _, value := range bundle.Values {
		values[revision.HashOf(value)] = value
	}
	snapshot, err := revision.Build(r.codec, m, values)
	if errors.Is(err, revision.ErrIncomplete) {
		return ReceiveOutcome{Result: NeedsFull, Err: err}
	}
	if err != nil {
		r.holder.Refuse(m.Number, err.Error())
		return ReceiveOutcome{Result: Refused, Err: err}
	}
	if r.holder.Offer(snapshot) == revision.Stale {
		return ReceiveOutcome{Result: Stale}
	}
	return ReceiveOutcome{Result: Applied}
}

// resolveManifest returns the full manifest of a bundle, verified against its
// hash.
func (r *Replica) resolveManifest(bundle Bundle, current *revision.Snapshot) (revision.Manifest, error) {
	m := bundle.Manifest
	if bundle.Base != 0 {
		if current == nil || current.Manifest.Number != bundle.Base {
			return revision.Manifest{}, errors.Newf("base revision %d of the bundle is not the current one", bundle.Base)
		}
		m.Entries = patchEntries(current.Manifest.Entries, bundle.Changed, bundle.Removed)
	}
	if m.Hash() != bundle.Hash {
		return revision.Manifest{}, errors.Newf("bundle does not match the hash of revision %d", m.Number)
	}
	return m, nil
}

// patchEntries applies a diff to a list of entries and returns it sorted.
func patchEntries(base, changed, removed []revision.Entry) []revision.Entry {
	entries := make(map[revision.EntryKey]revision.Entry, len(base)+len(changed))
	for _, e := range base {
		entries[e.Key] = e
	}
	for _, e := range removed {
		delete(entries, e.Key)
	}
	for _, e := range changed {
		entries[e.Key] = e
	}
	patched := make([]revision.Entry, 0, len(entries))
	for _, e := range entries {
		patched = append(patched, e)
	}
	slices.SortFunc(patched, func(a, b revision.Entry) int { return a.Key.Compare(b.Key) })
	return patched
}
