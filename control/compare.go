package control

import (
	"slices"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/revision"
)

// ChangeKind tells how a resource changes.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// ConfigChange is one difference between two configurations.
type ConfigChange struct {
	Key  revision.EntryKey
	Kind ChangeKind
}

// ApplyResult is the result of applying a configuration document.
type ApplyResult struct {
	// Revision is the revision that holds the configuration; for a dry run, the
	// revision that the document was compared with.
	Revision uint64
	Changes  []ConfigChange
}

// Compare returns the differences between two configurations, sorted by key.
// The error is the codec's.
func Compare(codec revision.Codec, from, to config.Config) ([]ConfigChange, error) {
	before, err := hashResources(codec, from)
	if err != nil {
		return nil, err
	}
	after, err := hashResources(codec, to)
	if err != nil {
		return nil, err
	}
	var changes []ConfigChange
	for key, hash := range after {
		old, ok := before[key]
		switch {
		case !ok:
			changes = append(changes, ConfigChange{Key: key, Kind: Added})
		case old != hash:
			changes = append(changes, ConfigChange{Key: key, Kind: Changed})
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			changes = append(changes, ConfigChange{Key: key, Kind: Removed})
		}
	}
	slices.SortFunc(changes, func(a, b ConfigChange) int { return a.Key.Compare(b.Key) })
	return changes, nil
}

// hashResources returns the hash of each encoded resource of a configuration.
func hashResources(codec revision.Codec, c config.Config) (map[revision.EntryKey]revision.Hash, error) {
	resources, err := codec.EncodeConfig(c)
	if err != nil {
		return nil, err
	}
	hashes := make(map[revision.EntryKey]revision.Hash, len(resources))
	for _, r := range resources {
		hashes[r.Key] = revision.HashOf(r.Value)
	}
	return hashes, nil
}
