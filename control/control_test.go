package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/rollout"
	"lentilferry.example/lentilferry/wire"
)

const _document = `
services:
  - {name: s, weights: [{version: v1, share: 100}]}
versions:
  - {service: s, name: v1}
  - {service: s, name: v2}
routes:
  - {name: r, service: s, pathPrefix: /, class: lookup, timeout: 1s}
policies:
  - {service: s, stages: [5, 50, 100], minDwell: 10s, minStageCalls: 0, convergenceAllowance: 5s}
`

// harness is the platform, the fleet and all who act on them.
type harness struct {
	platform    *fakeplatform.Platform
	controllers []*Controller
	operations  *Operations
	// beforeCall runs before each call to the platform.
	beforeCall func()
	// candidateFails makes the evidence speak against the candidate.
	candidateFails bool
	// revisionsBehind is how many revisions the fleet is behind.
	revisionsBehind uint64
	// collectorSilent makes the zone's collector not answer.
	collectorSilent bool
	calls           uint64
	paused          *Controller
}

// hookedPlatform is the platform as its users see it: others act between any two of
// their calls.
type hookedPlatform struct{ h *harness }

func (p hookedPlatform) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	p.h.beforeCall()
	return p.h.platform.Get(ctx, key)
}

func (p hookedPlatform) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error) {
	p.h.beforeCall()
	return p.h.platform.List(ctx, kind)
}

func (p hookedPlatform) Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome {
	p.h.beforeCall()
	return p.h.platform.Create(ctx, key, value)
}

func (p hookedPlatform) Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome {
	p.h.beforeCall()
	return p.h.platform.Update(ctx, key, version, value)
}

func (h *harness) Gather(context.Context, string, config.ServiceName) []ZoneReports {
	h.calls++
	var reports []evidence.Report
	for i, version := range []config.VersionName{"v1", "v2"} {
		failures := uint64(0)
		if h.candidateFails && version == "v2" {
			failures = h.calls * 50
		}
		reports = append(reports, evidence.Report{
			Rollout: "x", Node: membership.NodeID(fmt.Sprint("n", i)), Incarnation: 1, Sequence: h.calls,
			Tallies: []evidence.Tally{{Key: evidence.TallyKey{Version: version, Route: "r"}, Calls: h.calls * 100, Failures: failures}},
		})
	}
	return []ZoneReports{{Zone: "a", Reached: !h.collectorSilent, Reports: reports}}
}

func (h *harness) InForce(context.Context, time.Time) membership.InForce {
	number := h.readHead().Manifest.Number
	return membership.InForce{Revision: number - min(number, h.revisionsBehind)}
}

func (h *harness) All() []quarantine.Quarantine { return nil }

func (h *harness) Members() []membership.Member {
	var members []membership.Member
	for _, version := range []config.VersionName{"v1", "v2"} {
		members = append(members, membership.Member{ID: membership.NodeID(version), Zone: "a", State: membership.Serving, Service: "s", Version: version, Slots: 4})
	}
	return members
}

// readHead reads the readHead as it really is.
func (h *harness) readHead() *revision.Snapshot {
	clean := fakeplatform.Faults{}
	faults := h.platform.SwapFaults(clean)
	defer h.platform.SwapFaults(faults)
	object, err := h.platform.Get(context.Background(), revision.HeadKey)
	if err != nil {
		panic(err)
	}
	s, err := revision.Load(context.Background(), h.platform, wire.Codec{}, object, nil)
	if err != nil {
		panic(err)
	}
	return s
}

// loadRollout reads the rollout as it really is.
func (h *harness) loadRollout() (rollout.Rollout, bool) {
	faults := h.platform.SwapFaults(fakeplatform.Faults{})
	defer h.platform.SwapFaults(faults)
	stored, err := store{platform: h.platform}.load(context.Background(), "s")
	if err != nil {
		panic(err)
	}
	return stored.rollout, stored.version != 0
}

func newHarness(t assert.TestingT, controllers int) *harness {
	h := &harness{platform: fakeplatform.New(), beforeCall: func() {}}
	for i := range controllers {
		holder := revision.NewHolder()
		h.controllers = append(h.controllers, NewController(ControllerDependencies{
			Name: fmt.Sprint("controller-", i), Timing: lease.DefaultTiming(), Platform: hookedPlatform{h},
			Committer: revision.NewCommitter(hookedPlatform{h}, wire.Codec{}, holder), Holder: holder,
			Evidence: h, Fleet: h, Quarantines: h, Logger: klog.Logger{}, Now: time.Now,
		}))
	}
	holder := revision.NewHolder()
	h.operations = NewOperations(OperationsDependencies{
		Platform: hookedPlatform{h}, Committer: revision.NewCommitter(hookedPlatform{h}, wire.Codec{}, holder),
		Codec: wire.Codec{}, Holder: holder, Members: h, Now: time.Now,
	})
	_, err := h.operations.Apply(context.Background(), []byte(_document), "op", "apply-0", false)
	assert.NilError(t, err)
	return h
}

func (h *harness) plan(operation string) (rollout.Rollout, error) {
	return h.operations.Plan(context.Background(), rollout.Intent{
		Service: "s", Version: "v2", Share: config.FullShare, Deadline: time.Now().Add(3 * time.Minute),
		Operator: "ann", Operation: operation,
	})
}

func (h *harness) startRollout(t assert.TestingT) rollout.Rollout {
	planned, err := h.plan("plan-0")
	assert.NilError(t, err)
	r, err := h.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "confirm-0"})
	assert.NilError(t, err)
	return r
}

// runSteps lets all controllers take a step each second.
func (h *harness) runSteps(n int) {
	for range n {
		for _, c := range h.controllers {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_ = c.Step(ctx)
			cancel()
		}
		time.Sleep(time.Second)
	}
}

// runUntilEnded steps runUntilEnded the rollout has ended.
func (h *harness) runUntilEnded(t assert.TestingT, want rollout.State) rollout.Rollout {
	for range 1200 {
		h.runSteps(1)
		if r, ok := h.loadRollout(); ok && r.State.Ended() {
			assert.Equal(t, r.State, want, r.Reason)
			return r
		}
	}
	r, _ := h.loadRollout()
	assert.Equal(t, r.State, want, "it waits for %s", r.WaitingFor)
	return r
}

func (h *harness) share() config.Share {
	service, _ := h.readHead().Config.Service("s")
	return service.ShareOf("v2")
}

func TestGoodVersionMovesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.startRollout(t)
		r := h.runUntilEnded(t, rollout.Complete)
		assert.Assert(t, time.Now().Before(r.Deadline))
		assert.Equal(t, h.share(), config.FullShare)
		service, _ := h.readHead().Config.Service("s")
		assert.Equal(t, service.Rollout.ID, "")
	})
}

func TestBadVersionIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		h.startRollout(t)
		h.runSteps(4)
		assert.Equal(t, h.share(), config.Share(500))
		h.candidateFails = true
		r := h.runUntilEnded(t, rollout.RolledBack)
		assert.Equal(t, h.share(), config.Share(0))
		assert.Assert(t, r.Reason != "")
	})
}

// fault is one thing that goes wrong, and how it is mended.
type fault struct {
	name   string
	inject func(*harness)
	repair func(*harness)
	// blocksStages is set where no further stage may begin meanwhile.
	blocksStages bool
}

var _faults = []fault{
	{"platform down", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{Down: true}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"answers lost", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{LoseResponses: true}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"platform slow", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{Delay: 2 * time.Second}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"controller dead", func(h *harness) { h.controllers = h.controllers[1:] }, func(*harness) {}, false},
	{"controller paused", func(h *harness) { h.paused, h.controllers = h.controllers[0], h.controllers[1:] }, func(h *harness) { h.controllers = append(h.controllers, h.paused) }, false},
	{"lease object lost", func(h *harness) {
		if o, err := h.platform.Get(context.Background(), LeaseKey); err == nil {
			h.platform.Delete(context.Background(), LeaseKey, o.Version)
		}
	}, func(*harness) {}, false},
	{"fleet behind", func(h *harness) { h.revisionsBehind = 1 }, func(h *harness) { h.revisionsBehind = 0 }, true},
	{"evidence silent", func(h *harness) { h.collectorSilent = true }, func(h *harness) { h.collectorSilent = false }, true},
}

// TestFaultAtEachTransition brings each fault about just before each
// transition of a good and of a bad rollout, for a while, and expects the
// same end as without it, and no share out of its order.
func TestFaultAtEachTransition(t *testing.T) {
	for _, f := range _faults {
		for at := range 10 {
			for _, bad := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/transition %d/bad %t", f.name, at, bad), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runWithFault(t, f, at, bad) })
				})
			}
		}
	}
}

func runWithFault(t *testing.T, f fault, transition int, bad bool) {
	h := newHarness(t, 3)
	h.startRollout(t)
	highest := config.Share(0)
	seen := 0
	last, _ := h.loadRollout()
	for range 600 {
		if seen == transition {
			f.inject(h)
			if bad {
				h.candidateFails = true
			}
			rises := 0
			for range 80 {
				h.runSteps(1)
				before := highest
				highest = h.checkShare(t, highest)
				if highest > before {
					rises++
				}
			}
			// One rise may have been decided on before.
			assert.Assert(t, !f.blocksStages || rises <= 1, "the share rose %d times", rises)
			f.repair(h)
			seen++
		}
		h.runSteps(1)
		highest = h.checkShare(t, highest)
		r, _ := h.loadRollout()
		if len(r.Events) != len(last.Events) || r.State != last.State {
			seen++
			last = r
		}
		if r.State.Ended() && seen > transition {
			break
		}
	}
	r, _ := h.loadRollout()
	if bad && r.State != rollout.Complete {
		assert.Equal(t, r.State, rollout.RolledBack, "it waits for %s", r.WaitingFor)
		assert.Equal(t, h.share(), config.Share(0))
		return
	}
	assert.Equal(t, r.State, rollout.Complete, "it waits for %s", r.WaitingFor)
	assert.Equal(t, h.share(), config.FullShare)
}

// checkShare checks the head against the rollout: the candidate's share is one that
// the plan has, and rises by one stage at a time.
func (h *harness) checkShare(t assert.TestingT, highest config.Share) config.Share {
	allowed := []config.Share{0, 500, 5000, config.FullShare - 200, config.FullShare}
	share := h.share()
	index, previous := -1, -1
	for i, s := range allowed {
		if s == share {
			index = i
		}
		if s == highest {
			previous = i
		}
	}
	assert.Assert(t, index >= 0 && (index <= previous+1), "share %d after %d", share, highest)
	return share
}

// TestRandomInterleavings lets controllers and operators act between any two calls
// of each other, with pauses longer than the lease, lost answers and outages.
func TestRandomInterleavings(t *testing.T) {
	const seeds = 150
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { interleave(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func interleave(t *testing.T, rnd *rand.Rand) {
	draw := func(low, high int) int { return low + rnd.IntN(high-low+1) }
	h := newHarness(t, 3)
	planned := h.startRollout(t)
	number := h.readHead().Manifest.Number
	wasRolledBack := false
	nesting := 0
	check := func() {
		now := h.readHead()
		assert.Assert(t, now.Manifest.Number >= number, "the head went back")
		number = now.Manifest.Number
		r, _ := h.loadRollout()
		if r.ID == planned.ID && r.State == rollout.RolledBack {
			wasRolledBack = true
		}
		if wasRolledBack && r.ID == planned.ID {
			assert.Equal(t, h.share(), config.Share(0), "a share came back after the rollback")
		}
	}
	act := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		switch draw(0, 11) {
		case 0:
			h.platform.SetFaults(fakeplatform.Faults{LoseResponses: true})
		case 1:
			h.platform.SetFaults(fakeplatform.Faults{Down: true})
		case 2, 3, 4:
			h.platform.SetFaults(fakeplatform.Faults{})
		case 5:
			time.Sleep(time.Duration(draw(1, 30)) * time.Second)
		case 6:
			if draw(0, 3) == 0 {
				_, _ = h.operations.Rollback(ctx, Action{ID: planned.ID, Operator: "bob", Operation: "rollback-bob"})
			}
		case 7:
			h.candidateFails = draw(0, 3) == 0
		default:
			_ = h.controllers[draw(0, 2)].Step(ctx)
		}
		check()
	}
	h.beforeCall = func() {
		if nesting > 0 || draw(0, 9) > 2 {
			return
		}
		nesting++
		act()
		nesting--
	}
	for range draw(1, 40) {
		act()
		time.Sleep(time.Second)
	}
	// All is well again: the rollout comes to its end.
	h.beforeCall = func() {}
	h.platform.SetFaults(fakeplatform.Faults{})
	h.candidateFails = false
	for range 1200 {
		h.runSteps(1)
		check()
		if r, _ := h.loadRollout(); r.State.Ended() {
			break
		}
	}
	r, _ := h.loadRollout()
	assert.Assert(t, r.State == rollout.Complete || r.State == rollout.RolledBack, "%s, waits for %s", r.State, r.WaitingFor)
	want := config.Share(0)
	if r.State == rollout.Complete {
		want = config.FullShare
	}
	assert.Equal(t, h.share(), want)
}

// A controller that sleeps before any of its calls, while another takes over
// and takes the rollout back, brings no share back when it wakes.
func TestPausedControllerCannotUndoRollback(t *testing.T) {
	for at := range 24 {
		t.Run(fmt.Sprint("call ", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				h.runSteps(2)
				planned := h.startRollout(t)
				paused, other := h.controllers[0], h.controllers[1]
				calls := 0
				h.beforeCall = func() {
					calls++
					if calls != at {
						return
					}
					h.beforeCall = func() {}
					h.controllers = []*Controller{other}
					_, err := h.operations.Rollback(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "rollback-0"})
					assert.NilError(t, err)
					h.runUntilEnded(t, rollout.RolledBack)
					assert.Equal(t, h.share(), config.Share(0))
				}
				for range 6 {
					_ = paused.Step(context.Background())
					time.Sleep(time.Second)
				}
				r, _ := h.loadRollout()
				if r.State == rollout.RolledBack {
					assert.Equal(t, h.share(), config.Share(0), "the sleeper brought a share back")
				}
			})
		})
	}
}

// A lease object that is lost after a takeover begins again at epoch 1, below
// that of the rollouts; the holder raises it and goes on.
func TestLostLeaseObjectAfterTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		h.startRollout(t)
		for range 2 {
			h.runSteps(3)
			h.controllers = h.controllers[1:]
			h.runSteps(20)
		}
		r, _ := h.loadRollout()
		assert.Assert(t, r.Epoch >= 3, "epoch %d", r.Epoch)
		object, err := h.platform.Get(context.Background(), LeaseKey)
		assert.NilError(t, err)
		h.platform.Delete(context.Background(), LeaseKey, object.Version)
		h.runUntilEnded(t, rollout.Complete)
	})
}

// Racing operators: one wins, and the other is told plainly.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		planned, err := h.plan("plan-ann")
		assert.NilError(t, err)
		again, err := h.plan("plan-ann")
		assert.NilError(t, err)
		assert.Equal(t, again.ID, planned.ID)
		_, err = h.plan("plan-bob")
		assert.Assert(t, errors.Is(err, rollout.ErrState))
		assert.ErrorContains(t, err, "waits for confirmation")

		// Bob rejects while Ann's confirmation is on its way.
		once := true
		h.beforeCall = func() {
			if once {
				once = false
				_, err := h.operations.Reject(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "reject-bob"})
				assert.NilError(t, err)
			}
		}
		_, err = h.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "confirm-ann"})
		assert.Assert(t, errors.Is(err, rollout.ErrState))
		assert.ErrorContains(t, err, "is rejected")
		h.runSteps(20)
		assert.Equal(t, h.share(), config.Share(0))
	})
}

func TestOutdatedPlanIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		planned, err := h.plan("plan-0")
		assert.NilError(t, err)
		time.Sleep(16 * time.Minute)
		_, err = h.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "c"})
		assert.Assert(t, errors.Is(err, rollout.ErrOutdated), "%v", err)
		h.runUntilEnded(t, rollout.Expired)
		next, err := h.plan("plan-1")
		assert.NilError(t, err)
		assert.Equal(t, len(next.History), 1)
		assert.Equal(t, next.History[0].State, rollout.Expired)
	})
}

// A lost answer to a confirmation is resolved by reading back; an operator
// who repeats it after the rollout went on is told the same.
func TestConfirmIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		planned, err := h.plan("plan-0")
		assert.NilError(t, err)
		action := Action{ID: planned.ID, Operator: "ann", Operation: "confirm-0"}
		h.platform.SetFaults(fakeplatform.Faults{LoseResponses: true})
		_, err = h.operations.Confirm(context.Background(), action)
		assert.NilError(t, err)
		h.platform.SetFaults(fakeplatform.Faults{})
		h.runSteps(30)
		_, err = h.operations.Confirm(context.Background(), action)
		assert.NilError(t, err)
		_, err = h.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "confirm-1"})
		assert.Assert(t, errors.Is(err, rollout.ErrState))
	})
}
