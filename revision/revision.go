// Package revision stores configurations as numbered revisions. A revision is a
// manifest that lists content-addressed resources. Only one revision is
// current, and its number only grows.
package revision

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// Hash is the SHA-256 hash of a resource's stored form.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// HashOf returns the hash of a resource's stored form.
func HashOf(value []byte) Hash {
	return sha256.Sum256(value)
}

// ResourceKind is the kind of a resource.
type ResourceKind uint32

// The kinds of resources.
const (
	KindService ResourceKind = iota + 1
	KindVersion
	KindRoute
	KindPolicy
	KindLimits
	KindWorkspace
)

// LimitsName is the name of the only resource of kind KindLimits.
const LimitsName = "limits"

// String returns the name of the kind.
func (k ResourceKind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindVersion:
		return "version"
	case KindRoute:
		return "route"
	case KindPolicy:
		return "policy"
	case KindLimits:
		return "limits"
	case KindWorkspace:
		return "workspace"
	default:
		return "unknown"
	}
}

// EntryKey identifies a resource within a revision.
type EntryKey struct {
	Kind ResourceKind
	Name string
}

// Compare orders keys by kind, then by name.
func (k EntryKey) Compare(other EntryKey) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Entry identifies a resource and the hash of its content.
type Entry struct {
	Key  EntryKey
	Hash Hash
}

// Resource is a resource in its stored form.
type Resource struct {
	Key   EntryKey
	Value []byte
}

// AppliedOperation records the revision in which an operation took effect.
type AppliedOperation struct {
	ID     string
	Number uint64
}

// MaxRecentOperations is the number of operations that a manifest remembers.
// They let a committer whose write got no answer find out by reading back
// whether it took effect.
const MaxRecentOperations = 64

// Manifest describes one revision.
type Manifest struct {
	// Number is the number of the revision; above zero.
	Number uint64
	// Operation identifies the commit that created the revision.
	Operation string
	// RecentOperations holds the last operations, oldest first.
	RecentOperations []AppliedOperation
	Message          string
	CommittedAt      time.Time
	// Entries are sorted by key, without duplicates.
	Entries []Entry
}

// AppliedIn returns the number of the revision in which an operation took
// effect, and false if the manifest does not list the operation.
func (m Manifest) AppliedIn(operation string) (uint64, bool) {
	for _, o := range m.RecentOperations {
		if o.ID == operation {
			return o.Number, true
		}
	}
	return 0, false
}

// Hash returns a hash of the number, the operation and the entries.
func (m Manifest) Hash() Hash {
	digest := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], m.Number)
	digest.Write(number[:])
	digest.Write([]byte(m.Operation))
	for _, e := range m.Entries {
		binary.BigEndian.PutUint64(number[:], uint64(e.Key.Kind))
		digest.Write(number[:])
		digest.Write([]byte(e.Key.Name))
		digest.Write([]byte{0})
		digest.Write(e.Hash[:])
	}
	return Hash(digest.Sum(nil))
}

// Codec converts configurations and manifests to and from their stored forms.
type Codec interface {
	EncodeConfig(config.Config) ([]Resource, error)
	DecodeConfig([]Resource) (config.Config, error)
	EncodeManifest(Manifest) ([]byte, error)
	DecodeManifest([]byte) (Manifest, error)
}

// Snapshot is a complete and verified revision. It is immutable.
type Snapshot struct {
	Manifest Manifest
	Config   config.Config
	// Values holds the stored form of each entry's resource.
	Values map[Hash][]byte
}

// Errors of revisions that cannot be applied.
var (
	// ErrIncomplete means that a resource is missing or does not match its
	// hash.
	ErrIncomplete = errors.New("revision is incomplete")
	// ErrInvalid means that the entries are out of order, or that the
	// configuration breaks a rule or cannot be decoded.
	ErrInvalid = errors.New("revision is invalid")
)

// Build verifies a complete revision and returns its snapshot. The error is
// ErrIncomplete or ErrInvalid.
func Build(codec Codec, m Manifest, values map[Hash][]byte) (*Snapshot, error) {
	kept := make(map[Hash][]byte, len(m.Entries))
	resources := make([]Resource, 0, len(m.Entries))
	for i, e := range m.Entries {
		if i > 0 && m.Entries[i-1].Key.Compare(e.Key) >= 0 {
			return nil, errors.Wrapf(ErrInvalid, "entry %s %q is out of order", e.Key.Kind, e.Key.Name)
		}
		value, ok := values[e.Hash]
		if !ok {
			return nil, errors.Wrapf(ErrIncomplete, "%s %q is missing", e.Key.Kind, e.Key.Name)
		}
		if HashOf(value) != e.Hash {
			return nil, errors.Wrapf(ErrIncomplete, "%s %q does not match its hash", e.Key.Kind, e.Key.Name)
		}
		kept[e.Hash] = value
		resources = append(resources, Resource{Key: e.Key, Value: value})
	}
	c, err := codec.DecodeConfig(resources)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "revision %d", m.Number), ErrInvalid)
	}
	if found := config.Check(c); len(found) > 0 {
		return nil, errors.Mark(errors.Wrapf(found, "revision %d", m.Number), ErrInvalid)
	}
	return &Snapshot{Manifest: m, Config: c, Values: kept}, nil
}

// Next returns the snapshot that follows base and has the given configuration.
// Without a base, it has the number 1. The error is ErrInvalid.
func Next(codec Codec, base *Snapshot, c config.Config, operation, message string, now time.Time) (*Snapshot, error) {
	m := Manifest{Number: 1, Operation: operation, Message: message, CommittedAt: now}
	if base != nil {
		m.Number = base.Manifest.Number + 1
		m.RecentOperations = slices.Clone(base.Manifest.RecentOperations)
	}
	m.RecentOperations = append(m.RecentOperations, AppliedOperation{ID: operation, Number: m.Number})
	if extra := len(m.RecentOperations) - MaxRecentOperations; extra > 0 {
		m.RecentOperations = m.RecentOperations[extra:]
	}
	return buildFromConfig(codec, m, c)
}

// SnapshotAt returns the snapshot of a configuration whose revision number is
// assigned by an external store. The same configuration with the same number
// gives the same snapshot on every node. The error is ErrInvalid.
func SnapshotAt(codec Codec, number uint64, c config.Config, operation string) (*Snapshot, error) {
	m := Manifest{Number: number, Operation: operation}
	return buildFromConfig(codec, m, c)
}

// buildFromConfig adds the resources of a configuration to a manifest and
// builds the snapshot.
func buildFromConfig(codec Codec, m Manifest, c config.Config) (*Snapshot, error) {
	resources, err := codec.EncodeConfig(c)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	slices.SortFunc(resources, func(a, b Resource) int { return a.Key.Compare(b.Key) })
	values := make(map[Hash][]byte, len(resources))
	for _, r := range resources {
		hash := HashOf(r.Value)
		values[hash] = r.Value
		m.Entries = append(m.Entries, Entry{Key: r.Key, Hash: hash})
	}
	return Build(codec, m, values)
}

// SameEntries reports whether two revisions have the same configuration.
func SameEntries(a, b Manifest) bool {
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y Entry) bool {
		return x.Key == y.Key && bytes.Equal(x.Hash[:], y.Hash[:])
	})
}
