package wire_test

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/internal/testseed"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/rollout"
	"lentilferry.example/lentilferry/wire"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Every field of a rollout survives encoding and decoding. A field that the
// codec omits would be zero after decoding.
func TestRolloutRoundTrip(t *testing.T) {
	at := time.Unix(1_800_000_000, 5)
	r := rollout.Rollout{
		ID: "s.1", Service: "s", Baseline: "v1", Candidate: "v2", FromShare: 1, TargetShare: 2, Deadline: at, PlannedAt: at.Add(1),
		ExpiresAt: at.Add(2), FinishAt: at.Add(3), BaseRevision: 4, Stages: []rollout.Stage{{Share: 5, Dwell: 6}, {Share: 7, Dwell: 8}},
		Capacity: []rollout.ZoneCapacity{{Zone: "a", BaselineUpstreams: 1, CandidateUpstreams: 2, BaselineSlots: 3, CandidateSlots: 4}},
		State:    rollout.Running, Stage: 1, StageRevision: 9, FinishRevision: 10, StageInForceAt: at.Add(4), StageStartCalls: 11, Epoch: 12,
		Operator: "ann", LastOperation: "l", ConfirmOperation: "c", Reason: "r", WaitingFor: "w", CandidateCalls: 13, CandidateFailures: 14,
		BaselineCalls: 15, Events: []rollout.Event{{At: at, Text: "e"}},
		History: []rollout.Summary{{ID: "s.0", Candidate: "v0", State: rollout.RolledBack, EndedAt: at, Reason: "h"}},
	}
	value, err := wire.MarshalRollout(r)
	assert.NilError(t, err)
	got, err := wire.UnmarshalRollout(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
}

// A configuration survives encoding and decoding. Damaged bytes are rejected or
// decoded to something valid, but never cause a panic.
func TestDamagedResources(t *testing.T) {
	c := config.Config{
		Services: []config.Service{{Name: "s", Weights: config.Split("v1", "v2", 5), Rollout: config.RolloutRef{ID: "x", Baseline: "v1", Candidate: "v2"}}},
		Versions: []config.Version{{Service: "s", Name: "v1"}, {Service: "s", Name: "v2"}},
		Routes:   []config.Route{{Name: "r", Service: "s", Host: "h", PathPrefix: "/", Class: config.ClassCommand, Timeout: time.Second, Public: true}},
		Policies: []config.Policy{config.DefaultPolicy("s")},
		Workspaces: []config.Workspace{{
			Name: "w", KeyHashes: []config.KeyHash{config.HashKey("a"), config.HashKey("b")}, Rank: 2, Rate: 1.5, Burst: 3,
		}},
	}
	resources, err := wire.Codec{}.EncodeConfig(c)
	assert.NilError(t, err)
	decoded, err := wire.Codec{}.DecodeConfig(resources)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, c)
	rapid.Check(t, func(t *rapid.T) {
		damaged := resources[rapid.IntRange(0, len(resources)-1).Draw(t, "resource")]
		damaged.Value = append([]byte(nil), damaged.Value...)
		damaged.Value[rapid.IntRange(0, len(damaged.Value)-1).Draw(t, "offset")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flipped bits"))
		if _, err := (wire.Codec{}).DecodeConfig(append(resources[:0:0], damaged)); err == nil {
			return
		}
		_, _ = wire.UnmarshalRollout(damaged.Value)
		_, _ = wire.Codec{}.DecodeManifest(damaged.Value)
	})
}

// A hash of the wrong length is refused, not cut or padded to that of another
// key.
func TestMalformedKeyHashIsRefused(t *testing.T) {
	for _, length := range []int{0, 31, 33} {
		message := &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Workspace{
			Workspace: &lentilferryv1.Workspace{Name: "w", KeyHashes: [][]byte{make([]byte, length)}},
		}}
		value, err := proto.Marshal(message)
		assert.NilError(t, err)
		_, err = wire.Codec{}.DecodeConfig([]revision.Resource{{Key: revision.EntryKey{Kind: revision.KindWorkspace, Name: "w"}, Value: value}})
		assert.ErrorIs(t, err, wire.ErrMalformed)
	}
}

// A change to one workspace changes the resource of that workspace only.
func TestWorkspacesAreResourcesOfTheirOwn(t *testing.T) {
	c := config.Config{Workspaces: []config.Workspace{{Name: "a", KeyHashes: []config.KeyHash{config.HashKey("a")}}, {Name: "b"}}}
	before, err := revision.SnapshotAt(wire.Codec{}, 1, c, "op")
	assert.NilError(t, err)
	c.Workspaces = []config.Workspace{{Name: "a"}, {Name: "b"}}
	after, err := revision.SnapshotAt(wire.Codec{}, 2, c, "op")
	assert.NilError(t, err)
	assert.Equal(t, len(after.Manifest.Entries), 2)
	assert.Assert(t, before.Manifest.Entries[0] != after.Manifest.Entries[0])
	assert.Equal(t, before.Manifest.Entries[1], after.Manifest.Entries[1])
}

func TestMalformedMembersAreLeftOut(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.7:8080")
	wellFormed := membership.Member{ID: "n", Zone: "a", PeerAddress: address, State: membership.Serving, Slots: 3, Revision: 4, Suspected: true, LastDeparture: membership.Departure{Process: "u", Incarnation: 9}}
	messages := wire.EncodeMembers([]membership.Member{
		wellFormed,
		{Zone: "a", PeerAddress: address, State: membership.Serving},
		{ID: "n", PeerAddress: address, State: membership.Serving},
		{ID: "n", Zone: "a", PeerAddress: address},
		{ID: "n", Zone: "a", State: membership.Serving},
	})
	assert.Assert(t, cmp.DeepEqual(wire.DecodeMembers(messages)[0].Slots, wellFormed.Slots))
	assert.Equal(t, len(wire.DecodeMembers(messages)), 1)
}

func TestCrashRecordsRoundTrip(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	runner := crash.Runner{Service: "desk", Version: "v1"}
	record := crash.Record{
		Content: crash.Content{1}, Target: crash.Target{2}, Label: "GET h/p", Generation: 3, Trips: 1,
		ChangedAt: now.Add(-5 * time.Second), TrialAt: now.Add(-time.Second),
		Crashes: []crash.Crash{{Process: 1 << 63, Runner: runner, StartedAt: now.Add(-7 * time.Second), At: now.Add(-6 * time.Second)}},
	}
	messages := wire.EncodeCrashRecords(now, []crash.Record{record})
	assert.DeepEqual(t, wire.DecodeCrashRecords(now, messages), []crash.Record{record})
	messages[0].Content = messages[0].GetContent()[1:]
	assert.Equal(t, len(wire.DecodeCrashRecords(now, messages)), 0)
}

// Operators get each runner once, and durations instead of times.
func TestEncodeBlockedCall(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v1, v2 := crash.Runner{Service: "s", Version: "v1"}, crash.Runner{Service: "s", Version: "v2"}
	r := crash.Record{
		Content: crash.Content{0xab}, Label: "GET h/p", Trips: 2, ChangedAt: now.Add(-2500 * time.Millisecond),
		Crashes: []crash.Crash{{Process: 1, Runner: v1}, {Process: 2, Runner: v2}, {Process: 3, Runner: v1}},
	}
	got := wire.EncodeBlockedCall(now, r)
	assert.Equal(t, got.GetContent(), r.Content.String())
	assert.Equal(t, got.GetLabel(), "GET h/p")
	assert.Equal(t, got.GetCrashes(), uint32(3))
	assert.Equal(t, got.GetTrips(), uint32(2))
	assert.Equal(t, got.GetAgeMillis(), uint64(2500))
	assert.Assert(t, got.GetBlocked())
	assert.Equal(t, got.GetBlockEndsInMillis(), uint64(r.BlockedUntil().Sub(now).Milliseconds()))
	assert.Equal(t, len(got.GetRunners()), 2)
	assert.Equal(t, got.GetRunners()[1].GetVersion(), "v2")

	got = wire.EncodeBlockedCall(r.BlockedUntil(), r)
	assert.Assert(t, !got.GetBlocked() && got.GetBlockEndsInMillis() == 0)
}
