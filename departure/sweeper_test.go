package departure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/departure"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
)

func TestSweeper(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	stored := func(name string, version uint64) objectstore.Object {
		return objectstore.Object{Key: objectstore.Key{Kind: objectstore.KindDeparture, Name: name}, Version: version}
	}
	members := map[membership.NodeID]bool{"here": true}
	s := departure.NewSweeper()
	expired := func(after time.Duration, logs ...objectstore.Object) []objectstore.Object {
		return s.Expired(start.Add(after), logs, func(id membership.NodeID) bool { return members[id] })
	}
	all := []objectstore.Object{stored("here", 1), stored("gone", 2), stored("changed", 3), stored("back", 4)}
	assert.Equal(t, len(expired(0, all...)), 0)
	all[2].Version = 5
	members["back"] = true
	assert.Equal(t, len(expired(30*time.Minute, all...)), 0)
	members["back"] = false
	got := expired(61*time.Minute, all...)
	assert.Equal(t, len(got), 1)
	assert.DeepEqual(t, got[0], all[1])
	got = expired(91*time.Minute, all[0], all[2], all[3])
	assert.Equal(t, len(got), 1)
	assert.DeepEqual(t, got[0], all[2])
}
