package capacity

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/distribution"
	"lentilferry.example/lentilferry/evidence"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/wire"
)

// Sizes of the target deployment.
const (
	_serviceCount     = 160
	_routesPerService = 3
	_nodeCount        = 1_100
	_zoneCount        = 12
)

var _now = time.Unix(1_800_000_000, 0)

// meshConfig returns a configuration with two versions and a policy for each
// service.
func meshConfig(services int) config.Config {
	var c config.Config
	for i := range services {
		name := config.ServiceName(fmt.Sprintf("service-%03d", i))
		c.Services = append(c.Services, config.Service{Name: name, Weights: config.Split("v1.20.3", "v1.20.4", 500)})
		c.Versions = append(c.Versions, config.Version{Service: name, Name: "v1.20.3"}, config.Version{Service: name, Name: "v1.20.4"})
		c.Policies = append(c.Policies, config.DefaultPolicy(name))
		for r := range _routesPerService {
			c.Routes = append(c.Routes, config.Route{
				Name: config.RouteName(fmt.Sprintf("%s-route-%d", name, r)), Service: name,
				Host: fmt.Sprintf("%s.example", name), PathPrefix: fmt.Sprintf("/path-%d", r),
				Class: config.ClassLookup, Timeout: 2 * time.Second,
			})
		}
	}
	return c
}

// members returns serving members, spread over the zones.
func members(nodes, zones int) []membership.Member {
	var all []membership.Member
	for i := range nodes {
		all = append(all, membership.Member{
			ID: membership.NodeID(fmt.Sprintf("node-%04d", i)), Incarnation: uint64(_now.UnixNano()), Sequence: 7, State: membership.Serving,
			Region: membership.Region(fmt.Sprint("region-", i%zones%5)), Zone: membership.Zone(fmt.Sprint("zone-", i%zones)),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7902),
			Service:     config.ServiceName(fmt.Sprintf("service-%03d", i%_serviceCount)), Version: "v1.20.3", Slots: 12, Revision: 40_000,
		})
	}
	return all
}

// table returns a membership table with all members, whose own node is in
// zone-0.
func table(nodes, zones int) *membership.Table {
	all := members(nodes, zones)
	t := membership.New(membership.DefaultTiming(), all[0], rand.New(rand.NewPCG(1, 1)), _now)
	for _, m := range all {
		t.Merge(_now, m)
		t.ObserveAges(_now, []membership.ZoneDigest{{Zone: m.Zone}})
	}
	return t
}

// snapshot returns the first revision of a configuration with the services.
func snapshot(b *testing.B, services int) *revision.Snapshot {
	s, err := revision.Next(wire.Codec{}, nil, meshConfig(services), "op", "", _now)
	assert.NilError(b, err)
	return s
}

// gzipSize returns the size in bytes of a message in compressed form.
func gzipSize(b *testing.B, m proto.Message) int {
	value, err := proto.Marshal(m)
	assert.NilError(b, err)
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err = w.Write(value)
	assert.NilError(b, err)
	assert.NilError(b, w.Close())
	return compressed.Len()
}

// heapOf builds a value and returns it with the heap bytes that it occupies.
func heapOf[T any](build func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkSnapshot measures making the next revision, and the heap and message
// sizes of a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range []int{10, 40, _serviceCount} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			base, heapBytes := heapOf(func() *revision.Snapshot { return snapshot(b, services) })
			changed := base.Config
			changed.Services = append([]config.Service(nil), base.Config.Services...)
			changed.Services[0].Weights = config.Split("v1.20.3", "v1.20.4", 2500)
			var next *revision.Snapshot
			for b.Loop() {
				var err error
				next, err = revision.Next(wire.Codec{}, base, changed, "op-2", "", _now)
				assert.NilError(b, err)
			}
			h := revision.NewHolder()
			h.Offer(base)
			h.Offer(next)
			replica := distribution.New(wire.Codec{}, h)
			whole, _ := replica.BundleFor(0)
			delta, _ := replica.BundleFor(1)
			manifest, err := wire.Codec{}.EncodeManifest(next.Manifest)
			assert.NilError(b, err)
			b.ReportMetric(float64(heapBytes), "held-B")
			b.ReportMetric(float64(gzipSize(b, wire.EncodeBundle(whole))), "whole-gzip-B")
			b.ReportMetric(float64(gzipSize(b, wire.EncodeBundle(delta))), "delta-gzip-B")
			b.ReportMetric(float64(len(manifest)), "head-B")
		})
	}
}

// BenchmarkReceiveDelta measures applying a delta and building the routing
// table.
func BenchmarkReceiveDelta(b *testing.B) {
	for _, services := range []int{10, 40, _serviceCount} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			base := snapshot(b, services)
			next, err := revision.Next(wire.Codec{}, base, base.Config, "op-2", "", _now)
			assert.NilError(b, err)
			h := revision.NewHolder()
			h.Offer(base)
			h.Offer(next)
			delta, _ := distribution.New(wire.Codec{}, h).BundleFor(1)
			for b.Loop() {
				receiver := revision.NewHolder()
				receiver.Offer(base)
				receipt := distribution.New(wire.Codec{}, receiver).Receive(delta)
				assert.Assert(b, receipt.Result == distribution.Applied)
				routing.NewTable(next.Config, nil, rand.New(rand.NewPCG(1, 1)))
			}
		})
	}
}

// BenchmarkMembers measures updating the upstream pool, the heap of a
// membership table and the size of a zone synchronization, the latter two per
// node.
func BenchmarkMembers(b *testing.B) {
	for _, nodes := range []int{100, 400, _nodeCount} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			t, heapBytes := heapOf(func() *membership.Table { return table(nodes, _zoneCount) })
			pool := routing.NewPool("zone-0", "region-0")
			for b.Loop() {
				pool.Update(t.Members())
			}
			b.ReportMetric(float64(heapBytes)/float64(nodes), "held-B/node")
			zone := &lentilferryv1.ExchangeResponse{Updates: wire.EncodeMembers(t.ZoneMembers("zone-0"))}
			b.ReportMetric(float64(gzipSize(b, zone))/float64(len(zone.GetUpdates())), "zone-sync-gzip-B/node")
		})
	}
}

// BenchmarkExchange measures the work of both sides in one gossip exchange,
// without the network: once without member updates (rest) and once with 12
// (news).
func BenchmarkExchange(b *testing.B) {
	t := table(_nodeCount, _zoneCount)
	for range 4_000 {
		t.Updates()
	}
	withoutUpdates := &lentilferryv1.ExchangeRequest{From: "node-0001", To: "node-0002", Revision: 40_000, Digests: wire.EncodeDigests(t.Digests(_now))}
	withUpdates := proto.CloneOf(withoutUpdates)
	withUpdates.Updates = wire.EncodeMembers(members(12, 1))
	for name, message := range map[string]*lentilferryv1.ExchangeRequest{"rest": withoutUpdates, "news": withUpdates} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				value, err := proto.Marshal(message)
				assert.NilError(b, err)
				var received lentilferryv1.ExchangeRequest
				assert.NilError(b, proto.Unmarshal(value, &received))
				for _, m := range wire.DecodeMembers(received.GetUpdates()) {
					t.Merge(_now, m)
				}
				t.RecordsToSync(_now, wire.DecodeDigests(received.GetDigests()))
			}
			b.ReportMetric(float64(proto.Size(message)), "message-B")
		})
	}
}

// BenchmarkReport measures encoding one node's evidence report, and its size.
func BenchmarkReport(b *testing.B) {
	r := evidence.NewRecorder("v1.20.4")
	r.SetRollout("service-001.0a1b2c3d")
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range 10_000 {
		route := config.RouteName(fmt.Sprint("service-001-route-", i%_routesPerService))
		r.Observe(_now, evidence.Observation{Route: route, Latency: time.Duration(rnd.ExpFloat64() * float64(20*time.Millisecond))})
	}
	var report *lentilferryv1.ReportRequest
	for b.Loop() {
		report = wire.EncodeReport(evidence.Report{Rollout: r.Rollout(), Node: "node-0001", Incarnation: 1, Sequence: 1, Tallies: r.Tallies()})
	}
	b.ReportMetric(float64(proto.Size(report)), "report-B")
	b.ReportMetric(float64(gzipSize(b, report)), "report-gzip-B")
}

// BenchmarkRoutes measures building a snapshot and its routing table from a
// configuration with many routes, and the heap that a node needs for both.
func BenchmarkRoutes(b *testing.B) {
	for _, routes := range []int{100, 800, 2_200} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			c := routesConfig(routes)
			build := func() tableWithSnapshot { return newTableWithSnapshot(b, 7, c) }
			_, heapBytes := heapOf(build)
			var last tableWithSnapshot
			for b.Loop() {
				last = build()
			}
			_, ok := last.table.Match("host-0.example", "/path-00000/7")
			assert.Assert(b, ok)
			b.ReportMetric(float64(heapBytes)/float64(routes), "held-B/route")
		})
	}
}

// BenchmarkWorkspaces measures building a snapshot and its routing table from a
// configuration with 2,200 routes and many keys, the heap that a node needs for
// both, and the size of the change of one workspace.
func BenchmarkWorkspaces(b *testing.B) {
	const keysPerWorkspace = 10
	for _, workspaces := range []int{0, 77, 1_000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			c := routesConfig(2_200)
			for i := range workspaces {
				w := config.Workspace{Name: config.WorkspaceName(fmt.Sprintf("workspace-%05d", i)), Rank: 1, Rate: 500, Burst: 500}
				for k := range keysPerWorkspace {
					w.KeyHashes = append(w.KeyHashes, config.HashKey(fmt.Sprint("key-", i, "-", k)))
				}
				c.Workspaces = append(c.Workspaces, w)
			}
			build := func() tableWithSnapshot { return newTableWithSnapshot(b, 7, c) }
			before, heapBytes := heapOf(build)
			for b.Loop() {
				build()
			}
			b.ReportMetric(float64(heapBytes), "held-B")
			if workspaces == 0 {
				return
			}
			_, ok := before.table.WorkspaceOf(config.HashKey("key-7-7"))
			assert.Assert(b, ok)
			c.Workspaces = append([]config.Workspace(nil), c.Workspaces...)
			c.Workspaces[7].KeyHashes = c.Workspaces[7].KeyHashes[1:]
			h := revision.NewHolder()
			h.Offer(before.snapshot)
			h.Offer(newTableWithSnapshot(b, 8, c).snapshot)
			replica := distribution.New(wire.Codec{}, h)
			whole, _ := replica.BundleFor(0)
			delta, _ := replica.BundleFor(7)
			b.ReportMetric(float64(proto.Size(wire.EncodeBundle(whole))), "whole-B")
			b.ReportMetric(float64(proto.Size(wire.EncodeBundle(delta))), "delta-B")
		})
	}
}

// tableWithSnapshot is a snapshot and its routing table.
type tableWithSnapshot struct {
	snapshot *revision.Snapshot
	table    *routing.Table
}

func newTableWithSnapshot(b *testing.B, number uint64, c config.Config) tableWithSnapshot {
	s, err := revision.SnapshotAt(wire.Codec{}, number, c, "op")
	assert.NilError(b, err)
	return tableWithSnapshot{snapshot: s, table: routing.NewTable(s.Config, nil, rand.New(rand.NewPCG(1, 1)))}
}

// routesConfig returns a configuration with many routes of one service.
func routesConfig(routes int) config.Config {
	c := config.Config{Services: []config.Service{{Name: "desk", AnyVersion: true}}}
	for i := range routes {
		c.Routes = append(c.Routes, config.Route{
			Name: config.RouteName(fmt.Sprintf("route-%05d", i)), Service: "desk", Host: fmt.Sprintf("host-%d.example", i/50),
			PathPrefix: fmt.Sprintf("/path-%05d/", i), Class: config.ClassLookup, Timeout: time.Second, Attempts: 2,
		})
	}
	return c
}
