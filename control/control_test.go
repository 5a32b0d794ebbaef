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

// world is the platform, the fleet and all who act on them.
type world struct {
	platform    *fakeplatform.Platform
	controllers []*Controller
	operations  *Operations
	// meddle runs before each call to the platform.
	meddle func()
	// bad makes the evidence speak against the candidate.
	bad bool
	// lag is how many revisions the fleet is behind.
	lag uint64
	// silent makes the zone's collector not answer.
	silent bool
	calls  uint64
	paused *Controller
}

// meddled is the platform as its users see it: others act between any two of
// their calls.
type meddled struct{ w *world }

func (m meddled) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	m.w.meddle()
	return m.w.platform.Get(ctx, key)
}

func (m meddled) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error) {
	m.w.meddle()
	return m.w.platform.List(ctx, kind)
}

func (m meddled) Create(ctx context.Context, key objectstore.Key, value []byte) objectstore.WriteOutcome {
	m.w.meddle()
	return m.w.platform.Create(ctx, key, value)
}

func (m meddled) Update(ctx context.Context, key objectstore.Key, version uint64, value []byte) objectstore.WriteOutcome {
	m.w.meddle()
	return m.w.platform.Update(ctx, key, version, value)
}

func (w *world) Gather(context.Context, string, config.ServiceName) []ZoneReports {
	w.calls++
	var reports []evidence.Report
	for i, version := range []config.VersionName{"v1", "v2"} {
		failures := uint64(0)
		if w.bad && version == "v2" {
			failures = w.calls * 50
		}
		reports = append(reports, evidence.Report{
			Rollout: "x", From: membership.NodeID(fmt.Sprint("n", i)), Incarnation: 1, Sequence: w.calls,
			Tallies: []evidence.Tally{{Key: evidence.Key{Version: version, Route: "r"}, Calls: w.calls * 100, Failures: failures}},
		})
	}
	return []ZoneReports{{Zone: "a", Reached: !w.silent, Reports: reports}}
}

func (w *world) InForce(context.Context, time.Time) membership.InForce {
	number := w.head().Manifest.Number
	return membership.InForce{Revision: number - min(number, w.lag)}
}

func (w *world) All() []quarantine.Quarantine { return nil }

func (w *world) Members() []membership.Member {
	var members []membership.Member
	for _, version := range []config.VersionName{"v1", "v2"} {
		members = append(members, membership.Member{ID: membership.NodeID(version), Zone: "a", State: membership.Serving, Service: "s", Version: version, Slots: 4})
	}
	return members
}

// head reads the head as it really is.
func (w *world) head() *revision.Snapshot {
	clean := fakeplatform.Faults{}
	faults := w.platform.SwapFaults(clean)
	defer w.platform.SwapFaults(faults)
	object, err := w.platform.Get(context.Background(), revision.HeadKey)
	if err != nil {
		panic(err)
	}
	s, err := revision.Load(context.Background(), w.platform, wire.Codec{}, object, nil)
	if err != nil {
		panic(err)
	}
	return s
}

// stored reads the rollout as it really is.
func (w *world) stored() (rollout.Rollout, bool) {
	faults := w.platform.SwapFaults(fakeplatform.Faults{})
	defer w.platform.SwapFaults(faults)
	one, err := store{platform: w.platform}.load(context.Background(), "s")
	if err != nil {
		panic(err)
	}
	return one.rollout, one.version != 0
}

func newWorld(t assert.TestingT, controllers int) *world {
	w := &world{platform: fakeplatform.New(), meddle: func() {}}
	for i := range controllers {
		holder := revision.NewHolder()
		w.controllers = append(w.controllers, NewController(ControllerDependencies{
			Name: fmt.Sprint("controller-", i), Timing: lease.DefaultTiming(), Platform: meddled{w},
			Committer: revision.NewCommitter(meddled{w}, wire.Codec{}, holder), Holder: holder,
			Evidence: w, Fleet: w, Quarantines: w, Logger: klog.Logger{}, Now: time.Now,
		}))
	}
	holder := revision.NewHolder()
	w.operations = NewOperations(OperationsDependencies{
		Platform: meddled{w}, Committer: revision.NewCommitter(meddled{w}, wire.Codec{}, holder),
		Codec: wire.Codec{}, Holder: holder, Members: w, Now: time.Now,
	})
	_, err := w.operations.Apply(context.Background(), []byte(_document), "op", "apply-0", false)
	assert.NilError(t, err)
	return w
}

func (w *world) plan(operation string) (rollout.Rollout, error) {
	return w.operations.Plan(context.Background(), rollout.Intent{
		Service: "s", Version: "v2", Share: config.FullShare, Deadline: time.Now().Add(3 * time.Minute),
		Operator: "ann", Operation: operation,
	})
}

func (w *world) start(t assert.TestingT) rollout.Rollout {
	planned, err := w.plan("plan-0")
	assert.NilError(t, err)
	r, err := w.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "confirm-0"})
	assert.NilError(t, err)
	return r
}

// steps lets all controllers take a step each second.
func (w *world) steps(n int) {
	for range n {
		for _, c := range w.controllers {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_ = c.Step(ctx)
			cancel()
		}
		time.Sleep(time.Second)
	}
}

// until steps until the rollout has ended.
func (w *world) until(t assert.TestingT, want rollout.State) rollout.Rollout {
	for range 1200 {
		w.steps(1)
		if r, ok := w.stored(); ok && r.State.Ended() {
			assert.Equal(t, r.State, want, r.Reason)
			return r
		}
	}
	r, _ := w.stored()
	assert.Equal(t, r.State, want, "it waits for %s", r.WaitingFor)
	return r
}

func (w *world) share() config.Share {
	service, _ := w.head().Config.Service("s")
	return service.ShareOf("v2")
}

func TestGoodVersionMovesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.start(t)
		r := w.until(t, rollout.Complete)
		assert.Assert(t, time.Now().Before(r.Deadline))
		assert.Equal(t, w.share(), config.FullShare)
		service, _ := w.head().Config.Service("s")
		assert.Equal(t, service.Rollout.ID, "")
	})
}

func TestBadVersionIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.start(t)
		w.steps(4)
		assert.Equal(t, w.share(), config.Share(500))
		w.bad = true
		r := w.until(t, rollout.RolledBack)
		assert.Equal(t, w.share(), config.Share(0))
		assert.Assert(t, r.Reason != "")
	})
}

// faulty is one thing that goes wrong, and how it is mended.
type faulty struct {
	name  string
	begin func(*world)
	end   func(*world)
	// holds is set where no further stage may begin meanwhile.
	holds bool
}

var _faults = []faulty{
	{"platform down", func(w *world) { w.platform.SetFaults(fakeplatform.Faults{Down: true}) }, func(w *world) { w.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"answers lost", func(w *world) { w.platform.SetFaults(fakeplatform.Faults{LoseAnswers: true}) }, func(w *world) { w.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"platform slow", func(w *world) { w.platform.SetFaults(fakeplatform.Faults{Delay: 2 * time.Second}) }, func(w *world) { w.platform.SetFaults(fakeplatform.Faults{}) }, false},
	{"controller dead", func(w *world) { w.controllers = w.controllers[1:] }, func(*world) {}, false},
	{"controller paused", func(w *world) { w.paused, w.controllers = w.controllers[0], w.controllers[1:] }, func(w *world) { w.controllers = append(w.controllers, w.paused) }, false},
	{"lease object lost", func(w *world) {
		if o, err := w.platform.Get(context.Background(), LeaseKey); err == nil {
			w.platform.Delete(context.Background(), LeaseKey, o.Version)
		}
	}, func(*world) {}, false},
	{"fleet behind", func(w *world) { w.lag = 1 }, func(w *world) { w.lag = 0 }, true},
	{"evidence silent", func(w *world) { w.silent = true }, func(w *world) { w.silent = false }, true},
}

// TestFaultAtEachTransition brings each fault about just before each
// transition of a good and of a bad rollout, for a while, and expects the
// same end as without it, and no share out of its order.
func TestFaultAtEachTransition(t *testing.T) {
	for _, f := range _faults {
		for at := range 10 {
			for _, bad := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/transition %d/bad %t", f.name, at, bad), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { faultAt(t, f, at, bad) })
				})
			}
		}
	}
}

func faultAt(t *testing.T, f faulty, at int, bad bool) {
	w := newWorld(t, 3)
	w.start(t)
	highest := config.Share(0)
	seen := 0
	last, _ := w.stored()
	for range 600 {
		if seen == at {
			f.begin(w)
			if bad {
				w.bad = true
			}
			rises := 0
			for range 80 {
				w.steps(1)
				before := highest
				highest = w.watch(t, highest)
				if highest > before {
					rises++
				}
			}
			// One rise may have been decided on before.
			assert.Assert(t, !f.holds || rises <= 1, "the share rose %d times", rises)
			f.end(w)
			seen++
		}
		w.steps(1)
		highest = w.watch(t, highest)
		r, _ := w.stored()
		if len(r.Events) != len(last.Events) || r.State != last.State {
			seen++
			last = r
		}
		if r.State.Ended() && seen > at {
			break
		}
	}
	r, _ := w.stored()
	if bad && r.State != rollout.Complete {
		assert.Equal(t, r.State, rollout.RolledBack, "it waits for %s", r.WaitingFor)
		assert.Equal(t, w.share(), config.Share(0))
		return
	}
	assert.Equal(t, r.State, rollout.Complete, "it waits for %s", r.WaitingFor)
	assert.Equal(t, w.share(), config.FullShare)
}

// watch checks the head against the rollout: the candidate's share is one that
// the plan has, and rises by one stage at a time.
func (w *world) watch(t assert.TestingT, highest config.Share) config.Share {
	order := []config.Share{0, 500, 5000, config.FullShare - 200, config.FullShare}
	share := w.share()
	at, before := -1, -1
	for i, s := range order {
		if s == share {
			at = i
		}
		if s == highest {
			before = i
		}
	}
	assert.Assert(t, at >= 0 && (at <= before+1), "share %d after %d", share, highest)
	return share
}

// TestAnyInterleaving lets controllers and operators act between any two calls
// of each other, with pauses longer than the lease, lost answers and outages.
func TestAnyInterleaving(t *testing.T) {
	const seeds = 150
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { interleave(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func interleave(t *testing.T, rnd *rand.Rand) {
	draw := func(least, most int) int { return least + rnd.IntN(most-least+1) }
	w := newWorld(t, 3)
	planned := w.start(t)
	number := w.head().Manifest.Number
	wasRolledBack := false
	depth := 0
	check := func() {
		now := w.head()
		assert.Assert(t, now.Manifest.Number >= number, "the head went back")
		number = now.Manifest.Number
		r, _ := w.stored()
		if r.ID == planned.ID && r.State == rollout.RolledBack {
			wasRolledBack = true
		}
		if wasRolledBack && r.ID == planned.ID {
			assert.Equal(t, w.share(), config.Share(0), "a share came back after the rollback")
		}
	}
	act := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		switch draw(0, 11) {
		case 0:
			w.platform.SetFaults(fakeplatform.Faults{LoseAnswers: true})
		case 1:
			w.platform.SetFaults(fakeplatform.Faults{Down: true})
		case 2, 3, 4:
			w.platform.SetFaults(fakeplatform.Faults{})
		case 5:
			time.Sleep(time.Duration(draw(1, 30)) * time.Second)
		case 6:
			if draw(0, 3) == 0 {
				_, _ = w.operations.Rollback(ctx, Action{ID: planned.ID, Operator: "bob", Operation: "rollback-bob"})
			}
		case 7:
			w.bad = draw(0, 3) == 0
		default:
			_ = w.controllers[draw(0, 2)].Step(ctx)
		}
		check()
	}
	w.meddle = func() {
		if depth > 0 || draw(0, 9) > 2 {
			return
		}
		depth++
		act()
		depth--
	}
	for range draw(1, 40) {
		act()
		time.Sleep(time.Second)
	}
	// All is well again: the rollout comes to its end.
	w.meddle = func() {}
	w.platform.SetFaults(fakeplatform.Faults{})
	w.bad = false
	for range 1200 {
		w.steps(1)
		check()
		if r, _ := w.stored(); r.State.Ended() {
			break
		}
	}
	r, _ := w.stored()
	assert.Assert(t, r.State == rollout.Complete || r.State == rollout.RolledBack, "%s, waits for %s", r.State, r.WaitingFor)
	want := config.Share(0)
	if r.State == rollout.Complete {
		want = config.FullShare
	}
	assert.Equal(t, w.share(), want)
}

// A controller that sleeps before any of its calls, while another takes over
// and takes the rollout back, brings no share back when it wakes.
func TestPausedControllerCantUndoARollback(t *testing.T) {
	for at := range 24 {
		t.Run(fmt.Sprint("call ", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				w.steps(2)
				planned := w.start(t)
				sleeper, other := w.controllers[0], w.controllers[1]
				calls := 0
				w.meddle = func() {
					calls++
					if calls != at {
						return
					}
					w.meddle = func() {}
					w.controllers = []*Controller{other}
					_, err := w.operations.Rollback(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "rollback-0"})
					assert.NilError(t, err)
					w.until(t, rollout.RolledBack)
					assert.Equal(t, w.share(), config.Share(0))
				}
				for range 6 {
					_ = sleeper.Step(context.Background())
					time.Sleep(time.Second)
				}
				r, _ := w.stored()
				if r.State == rollout.RolledBack {
					assert.Equal(t, w.share(), config.Share(0), "the sleeper brought a share back")
				}
			})
		})
	}
}

// A lease object that is lost after a takeover begins again at epoch 1, below
// that of the rollouts; the holder raises it and goes on.
func TestLeaseObjectLostAfterTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.start(t)
		for range 2 {
			w.steps(3)
			w.controllers = w.controllers[1:]
			w.steps(20)
		}
		r, _ := w.stored()
		assert.Assert(t, r.Epoch >= 3, "epoch %d", r.Epoch)
		object, err := w.platform.Get(context.Background(), LeaseKey)
		assert.NilError(t, err)
		w.platform.Delete(context.Background(), LeaseKey, object.Version)
		w.until(t, rollout.Complete)
	})
}

// Racing operators: one wins, and the other is told plainly.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		planned, err := w.plan("plan-ann")
		assert.NilError(t, err)
		again, err := w.plan("plan-ann")
		assert.NilError(t, err)
		assert.Equal(t, again.ID, planned.ID)
		_, err = w.plan("plan-bob")
		assert.Assert(t, errors.Is(err, rollout.ErrState))
		assert.ErrorContains(t, err, "waits for confirmation")

		// Bob rejects while Ann's confirmation is on its way.
		once := true
		w.meddle = func() {
			if once {
				once = false
				_, err := w.operations.Reject(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "reject-bob"})
				assert.NilError(t, err)
			}
		}
		_, err = w.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "confirm-ann"})
		assert.Assert(t, errors.Is(err, rollout.ErrState))
		assert.ErrorContains(t, err, "is rejected")
		w.steps(20)
		assert.Equal(t, w.share(), config.Share(0))
	})
}

func TestOutdatedPlanIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		planned, err := w.plan("plan-0")
		assert.NilError(t, err)
		time.Sleep(16 * time.Minute)
		_, err = w.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "ann", Operation: "c"})
		assert.Assert(t, errors.Is(err, rollout.ErrOutdated), "%v", err)
		w.until(t, rollout.Expired)
		next, err := w.plan("plan-1")
		assert.NilError(t, err)
		assert.Equal(t, len(next.History), 1)
		assert.Equal(t, next.History[0].State, rollout.Expired)
	})
}

// A lost answer to a confirmation is resolved by reading back; an operator
// who repeats it after the rollout went on is told the same.
func TestConfirmIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		planned, err := w.plan("plan-0")
		assert.NilError(t, err)
		action := Action{ID: planned.ID, Operator: "ann", Operation: "confirm-0"}
		w.platform.SetFaults(fakeplatform.Faults{LoseAnswers: true})
		_, err = w.operations.Confirm(context.Background(), action)
		assert.NilError(t, err)
		w.platform.SetFaults(fakeplatform.Faults{})
		w.steps(30)
		_, err = w.operations.Confirm(context.Background(), action)
		assert.NilError(t, err)
		_, err = w.operations.Confirm(context.Background(), Action{ID: planned.ID, Operator: "bob", Operation: "confirm-1"})
		assert.Assert(t, errors.Is(err, rollout.ErrState))
	})
}
