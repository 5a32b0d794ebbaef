package objectstore

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestHistoryOnlyMovesForward(t *testing.T) {
	var h History
	_, known := h.Era()
	assert.Assert(t, !known)
	for _, test := range []struct {
		era  uint64
		want EraRelation
	}{{3, CurrentEra}, {3, CurrentEra}, {4, NewEra}, {3, EndedEra}, {4, CurrentEra}, {7, NewEra}, {0, EndedEra}} {
		assert.Equal(t, h.Observe(test.era), test.want, "era %d", test.era)
	}
	era, known := h.Era()
	assert.Assert(t, known)
	assert.Equal(t, era, uint64(7))
}

func TestResponseWithoutEra(t *testing.T) {
	var h History
	assert.Equal(t, h.ObserveUnstated(), CurrentEra)
	assert.Equal(t, h.ObserveUnstated(), CurrentEra)
	assert.Equal(t, h.Observe(3), NewEra)
	assert.Equal(t, h.ObserveUnstated(), UnstatedEra)
	era, _ := h.Era()
	assert.Equal(t, era, uint64(3))
	assert.Equal(t, h.Observe(3), CurrentEra)
}

// Versions are ordered by era, then by revision, and out-of-range ones are
// errors.
func TestVersionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras, revisions := rapid.Uint64Max(_maxEra), rapid.Uint64Max(_revisionsPerEra-1)
		e1, r1 := eras.Draw(t, "era"), revisions.Draw(t, "revision")
		e2, r2 := eras.Draw(t, "otherEra"), revisions.Draw(t, "otherRevision")
		v1, err := VersionAt(e1, r1)
		assert.NilError(t, err)
		v2, err := VersionAt(e2, r2)
		assert.NilError(t, err)
		assert.Equal(t, v1 < v2, e1 < e2 || e1 == e2 && r1 < r2)
		assert.Equal(t, EraOf(v1), e1)
		assert.Equal(t, RevisionOf(v1), r1)
	})
	_, err := VersionAt(_maxEra+1, 0)
	assert.ErrorContains(t, err, "out of range")
	_, err = VersionAt(0, _revisionsPerEra)
	assert.ErrorContains(t, err, "out of range")
}
