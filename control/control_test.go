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

// harness holds the platform, the controllers and the operators' operations,
// and stands in for the fleet: its evidence, quarantines and members.
type harness struct {
	platform    *fakeplatform.Platform
	controllers []*Controller
	operations  *Operations
	// beforeCall runs before each call of a controller or operator to the
	// platform.
	beforeCall func()
	// candidateFails makes half of the candidate's calls fail.
	candidateFails bool
	// revisionsBehind is how many revisions the fleet lags behind the head.
	revisionsBehind uint64
	// collectorUnreachable makes the zone's collector unreachable.
	collectorUnreachable bool
	// calls counts the calls of Gather.
	calls uint64
	// paused is a controller that takes no steps for now.
	paused *Controller
}

// hookedPlatform runs the harness's beforeCall before each call, so that others
// can act between any two calls of a controller or operator.
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
	return []ZoneReports{{Zone: "a", Reached: !h.collectorUnreachable, Reports: reports}}
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

// readHead reads the head revision without injected faults.
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

// loadRollout reads the stored rollout without injected faults.
func (h *harness) loadRollout() (rollout.Rollout, bool) {
	faults := h.platform.SwapFaults(fakeplatform.Faults{})
	defer h.platform.SwapFaults(faults)
	stored, err := store{platform: h.platform}.load(context.Background(), "s")
	if err != nil {
		panic(err)
	}
	return stored.rollout, stored.version != 0
}

// newHarness returns a harness with the given number of controllers and an
// applied configuration.
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

// startRollout plans and confirms a rollout of v2.
func (h *harness) startRollout(t assert.TestingT) rollout.Rollout {
	planned, err := h.plan("plan-0")
	assert.NilError(t, err)
	r, err := h.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "confirm-0"})
	assert.NilError(t, err)
	return r
}

// runSteps lets all controllers take a step each second, n times.
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

// runUntilEnded runs steps until the rollout has ended, and checks its state.
func (h *harness) runUntilEnded(t assert.TestingT, want rollout.State) rollout.Rollout {
	for range 1200 {
		h.runSteps(1)
		if r, ok := h.loadRollout(); ok && r.State.Ended() {
			assert.Equal(t, r.State, want, r.Reason)
			return r
		}
	}
	r, _ := h.loadRollout()
	assert.Equal(t, r.State, want, "the rollout waits for %s", r.WaitingFor)
	return r
}

func (h *harness) share() config.Share {
	service, _ := h.readHead().Config.Service("s")
	return service.ShareOf("v2")
}

func TestGoodVersionCompletesInTime(t *testing.T) {
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

func TestBadVersionIsRolledBack(t *testing.T) {
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

// fault is a fault to inject, and how to repair it.
type fault struct {
	name   string
	inject func(*harness)
	repair func(*harness)
	// blocksStages is set if no further stage may begin during the fault.
	blocksStages bool
}

var _faults = []fault{
	{"platform down", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{Down: true}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"answers lost", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{LoseResponses: true}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"platform slow", func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{Delay: 2 * time.Second}) }, func(h *harness) { h.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"controller stopped", func(h *harness) { h.controllers = h.controllers[1:] }, func(*harness) {}, false},
	{"controller paused", func(h *harness) { h.paused, h.controllers = h.controllers[0], h.controllers[1:] }, func(h *harness) { h.controllers = append(h.controllers, h.paused) }, false},
	{"lease object lost", func(h *harness) {
		if o, err := h.platform.Get(context.Background(), LeaseKey); err == nil {
			h.platform.Delete(context.Background(), LeaseKey, o.Version)
		}
	}, func(*harness) {}, false},
	{"fleet lags", func(h *harness) { h.revisionsBehind = 1 }, func(h *harness) { h.revisionsBehind = 0 }, true},
	{"collector unreachable", func(h *harness) { h.collectorUnreachable = true }, func(h *harness) { h.collectorUnreachable = false }, true},
}

// TestFaultAtEachTransition injects each fault for 80 steps just before each
// transition of a good and of a bad rollout. The rollout must end as it does
// without the fault, and the shares must rise in the order of the stages.
func TestFaultAtEachTransition(t *testing.T) {
	for _, f := range _faults {
		for transition := range 10 {
			for _, bad := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/transition %d/bad %t", f.name, transition, bad), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runWithFault(t, f, transition, bad) })
				})
			}
		}
	}
}

func runWithFault(t *testing.T, f fault, transition int, bad bool) {
	h := newHarness(t, 3)
	h.startRollout(t)
	lastShare := config.Share(0)
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
				before := lastShare
				lastShare = h.checkShare(t, lastShare)
				if lastShare > before {
					rises++
				}
			}
			// One rise may have been decided on before the fault.
			assert.Assert(t, !f.blocksStages || rises <= 1, "the share rose %d times", rises)
			f.repair(h)
			seen++
		}
		h.runSteps(1)
		lastShare = h.checkShare(t, lastShare)
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
		assert.Equal(t, r.State, rollout.RolledBack, "the rollout waits for %s", r.WaitingFor)
		assert.Equal(t, h.share(), config.Share(0))
		return
	}
	assert.Equal(t, r.State, rollout.Complete, "the rollout waits for %s", r.WaitingFor)
	assert.Equal(t, h.share(), config.FullShare)
}

// checkShare checks the candidate's share in the head and returns it: it must
// be one of the plan's and at most one stage above the last one.
func (h *harness) checkShare(t assert.TestingT, lastShare config.Share) config.Share {
	allowed := []config.Share{0, 500, 5000, config.FullShare - 200, config.FullShare}
	share := h.share()
	index, previous := -1, -1
	for i, s := range allowed {
		if s == share {
			index = i
		}
		if s == lastShare {
			previous = i
		}
	}
	assert.Assert(t, index >= 0 && (index <= previous+1), "share %d after %d", share, lastShare)
	return share
}

// TestRandomInterleavings lets controllers and operators act between any two
// calls of each other, with pauses longer than the lease, lost responses and
// outages. The head must never go back, and the candidate must not get a share
// again after a rollback.
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
		head := h.readHead()
		assert.Assert(t, head.Manifest.Number >= number, "the head went back")
		number = head.Manifest.Number
		r, _ := h.loadRollout()
		if r.ID == planned.ID && r.State == rollout.RolledBack {
			wasRolledBack = true
		}
		if wasRolledBack && r.ID == planned.ID {
			assert.Equal(t, h.share(), config.Share(0), "the candidate has a share after the rollback")
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
	// Without further faults the rollout must end.
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

// A controller that is paused before any of its calls, while another one takes
// over and rolls back, must not restore the candidate's share when it resumes.
func TestPausedControllerCannotUndoRollback(t *testing.T) {
	for pausedCall := range 24 {
		t.Run(fmt.Sprint("call ", pausedCall), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				h.runSteps(2)
				planned := h.startRollout(t)
				paused, other := h.controllers[0], h.controllers[1]
				calls := 0
				h.beforeCall = func() {
					calls++
					if calls != pausedCall {
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
					assert.Equal(t, h.share(), config.Share(0), "the paused controller restored the share")
				}
			})
		})
	}
}

// A lease object that is deleted after takeovers starts again at epoch 1, below
// the epoch of the stored rollouts. The holder must raise the lease's epoch
// above it and go on.
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

// Of two concurrent operators one wins, and the other gets an error that names
// the state.
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

		// Bob rejects the plan while Ann's confirmation is in flight.
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

// A lost response to a confirmation is resolved by reading back. Repeating the
// confirmation later, when the rollout has gone on, succeeds as well.
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
