// Package distribution passes revisions between nodes: as the difference from
// a revision that the asking node holds, or whole when it is too far behind.
// It does no I/O.
package distribution

import (
	"slices"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/revision"
)

// Bundle carries one revision, whole or as a difference.
type Bundle struct {
	// Manifest has no entries when Base is not 0.
	Manifest revision.Manifest
	// Base is the number that the difference starts from; 0 for a whole one.
	Base    uint64
	Changed []revision.Entry
	Removed []revision.Entry
	// Values are the stored forms of the resources that the base lacks.
	Values [][]byte
	// Hash is that of the whole manifest.
	Hash revision.Hash
}

// Result tells what became of a received bundle.
type Result int

// The results of receiving a bundle.
const (
	// Applied means that the bundle's revision is now the current one.
	Applied Result = iota + 1
	// Stale means that the current revision is as new or newer.
	Stale
	// NeedsWhole means that the base is not held or the difference does not
	// lead to the bundle's manifest; the whole revision is to be asked for.
	NeedsWhole
	// Refused means that the revision is invalid; the old one stays.
	Refused
)

// Receipt is the outcome of receiving a bundle.
type Receipt struct {
	Result Result
	// Err is nil when Applied or Stale.
	Err error
}

// Replica serves and receives revisions for one node.
type Replica struct {
	codec  revision.Codec
	holder *revision.Holder
}

// New returns a replica over the node's holder.
func New(codec revision.Codec, holder *revision.Holder) *Replica {
	return &Replica{codec: codec, holder: holder}
}

// BundleFor returns what a node that holds the revision have lacks; false when
// nothing newer is held here. A have of 0 asks for the whole revision.
func (r *Replica) BundleFor(have uint64) (Bundle, bool) {
	current := r.holder.Current()
	if current == nil || current.Manifest.Number <= have {
		return Bundle{}, false
	}
	b := Bundle{Manifest: current.Manifest, Hash: current.Manifest.Hash()}
	base, ok := r.holder.Recent(have)
	if have == 0 || !ok {
		b.Values = allValues(current)
		return b, true
	}
	b.Base = have
	b.Manifest.Entries = nil
	b.Changed, b.Removed = difference(base.Entries, current.Manifest.Entries)
	for _, e := range b.Changed {
		b.Values = append(b.Values, current.Values[e.Hash])
	}
	return b, true
}

func allValues(s *revision.Snapshot) [][]byte {
	values := make([][]byte, 0, len(s.Manifest.Entries))
	for _, e := range s.Manifest.Entries {
		values = append(values, s.Values[e.Hash])
	}
	return values
}

// difference walks two sorted lists of entries side by side.
func difference(from, to []revision.Entry) (changed, removed []revision.Entry) {
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

// Receive checks a bundle whole and makes its revision the current one.
func (r *Replica) Receive(b Bundle) Receipt {
	current := r.holder.Current()
	if current != nil && b.Manifest.Number <= current.Manifest.Number {
		return Receipt{Result: Stale}
	}
	m, err := r.manifest(b, current)
	if err != nil {
		return Receipt{Result: NeedsWhole, Err: err}
	}
	values := make(map[revision.Hash][]byte, len(m.Entries))
	if current != nil {
		for hash, value := range current.Values {
			values[hash] = value
		}
	}
	for _, value := range b.Values {
		values[revision.HashOf(value)] = value
	}
	snapshot, err := revision.Build(r.codec, m, values)
	if errors.Is(err, revision.ErrIncomplete) {
		return Receipt{Result: NeedsWhole, Err: err}
	}
	if err != nil {
		r.holder.Refuse(m.Number, err.Error())
		return Receipt{Result: Refused, Err: err}
	}
	if r.holder.Offer(snapshot) == revision.Stale {
		return Receipt{Result: Stale}
	}
	return Receipt{Result: Applied}
}

// manifest returns the bundle's whole manifest, checked against its hash.
func (r *Replica) manifest(b Bundle, current *revision.Snapshot) (revision.Manifest, error) {
	m := b.Manifest
	if b.Base != 0 {
		if current == nil || current.Manifest.Number != b.Base {
			return revision.Manifest{}, errors.Newf("the bundle starts from revision %d, which is not the current one", b.Base)
		}
		m.Entries = patch(current.Manifest.Entries, b.Changed, b.Removed)
	}
	if m.Hash() != b.Hash {
		return revision.Manifest{}, errors.Newf("the bundle does not lead to revision %d", m.Number)
	}
	return m, nil
}

func patch(base, changed, removed []revision.Entry) []revision.Entry {
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
