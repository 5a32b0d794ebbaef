package call

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/upstream"
)

// play is a fleet in virtual time: senders that choose by their pools, and
// owners with real gates. It has no network.
type play struct {
	rules playRules
	rnd   *rand.Rand
	now   time.Time
	// events holds what happens next, in the order of time.
	events []playEvent
	// senders and owners hold the parts of the fleet, by number.
	senders []*playSender
	owners  []*playOwner
	routes  []config.Route
	rates   []float64
	works   []time.Duration

	calls, inTime, refused, sentElsewhere int
}

// playRules are what the runs of a test differ in.
type playRules struct {
	// reports is set if upstreams report their speed; where they don't, answers
	// between nodes carry no load.
	reports bool
	// rate scales the demand.
	rate float64
	// slowVMs is set if a fifth of the VMs in turn are six times as slow for 5 s.
	slowVMs bool
	seed    uint64
}

type playSender struct {
	zone int
	pool *routing.Pool
}

type playOwner struct {
	id      membership.NodeID
	zone    int
	gate    *admission.Gate
	tracker *upstream.LoadTracker
	// speed is the upstream's own, and slowness that of its VM in each step of
	// _playStep.
	speed    float64
	slowness []float64
	waiting  []*playCall
}

type playCall struct {
	route     int
	sender    *playSender
	startedAt time.Time
	tried     []*routing.Endpoint
	endpoint  *routing.Endpoint
	owner     *playOwner
	// assumed is the time that the sender expects the call to take, negative if the owner may not
	// send the call elsewhere.
	assumed       time.Duration
	sentElsewhere bool
	ticket        *admission.Ticket
}

var _playStart = time.Unix(1_800_000_000, 0)

const (
	_playZones      = 6
	_playSenders    = 62
	_playUpstreams  = 27
	_playSlots      = 6
	_playStep       = 100 * time.Millisecond
	_playWarmup     = 3 * time.Second
	_playDuration   = 20 * time.Second
	_playWavePeriod = 15 * time.Second
	_playWaveSwing  = 0.55
	_playTimeout    = 2500 * time.Millisecond
)

type playEvent struct {
	at  time.Time
	run func()
}

func newPlay(rules playRules) *play {
	p := &play{
		rules: rules, rnd: rand.New(rand.NewPCG(rules.seed, 1)), now: _playStart,
		routes: []config.Route{
			{Name: "entry", Objective: 400 * time.Millisecond},
			{Name: "inner", Objective: 120 * time.Millisecond},
		},
		rates: []float64{638 * rules.rate, 130 * rules.rate},
		works: []time.Duration{100 * time.Millisecond, 30 * time.Millisecond},
	}
	var members []membership.Member
	for i := range _playUpstreams {
		m := membership.Member{
			ID: membership.NodeID(strconv.Itoa(i)), Incarnation: 1, State: membership.Serving, Service: "s", Version: "v1",
			Zone: playZone(i % _playZones), Region: playRegion(i % _playZones), Slots: _playSlots,
		}
		members = append(members, m)
		p.owners = append(p.owners, p.newOwner(m.ID, i%_playZones))
	}
	for i := range _playSenders {
		s := &playSender{zone: i % _playZones, pool: routing.NewPool(playZone(i%_playZones), playRegion(i%_playZones))}
		s.pool.Update(members)
		p.senders = append(p.senders, s)
	}
	return p
}

func playZone(i int) membership.Zone     { return membership.Zone(rune('a' + i)) }
func playRegion(i int) membership.Region { return membership.Region(rune('r' + i/2)) }

func (p *play) newOwner(id membership.NodeID, zone int) *playOwner {
	o := &playOwner{
		id: id, zone: zone, speed: 0.5 + p.rnd.Float64(),
		gate:    admission.New(admission.ExactLimits(_playSlots)),
		tracker: upstream.NewLoadTracker(),
	}
	x := 0.0
	for range int((_playWarmup+_playDuration+2*_playTimeout)/_playStep) + 1 {
		x = 0.7*x + 0.3*p.rnd.NormFloat64()
		slowness := min(4, max(0.6, math.Exp(x)))
		if period := len(o.slowness) / int(5*time.Second/_playStep); p.rules.slowVMs && period%5 == len(p.owners)%5 {
			slowness *= 6
		}
		o.slowness = append(o.slowness, slowness)
	}
	return o
}

func (o *playOwner) slownessAt(now time.Time) float64 {
	return o.slowness[min(int(now.Sub(_playStart)/_playStep), len(o.slowness)-1)]
}

// end returns when work that starts now at the owner's upstream is done.
func (o *playOwner) end(now time.Time, work time.Duration) time.Time {
	left := float64(work) / o.speed
	for {
		next := _playStart.Add((now.Sub(_playStart)/_playStep + 1) * _playStep)
		slowness := o.slownessAt(now)
		if need := left * slowness; need <= float64(next.Sub(now)) {
			return now.Add(time.Duration(need))
		}
		left -= float64(next.Sub(now)) / slowness
		now = next
	}
}

func (p *play) after(d time.Duration, run func()) {
	at := p.now.Add(d)
	i, _ := slices.BinarySearchFunc(p.events, at, func(e playEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	p.events = slices.Insert(p.events, i, playEvent{at: at, run: run})
}

// run plays the load and returns the share of calls answered within their
// objective.
func (p *play) run() float64 {
	for i := range p.routes {
		p.after(0, func() { p.arrive(i) })
	}
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		p.now = e.at
		e.run()
	}
	return float64(p.inTime) / float64(p.calls)
}

// arrive starts a call of a route in a zone drawn by the wave, and schedules
// the next one.
func (p *play) arrive(route int) {
	elapsed := p.now.Sub(_playStart)
	if elapsed > _playWarmup+_playDuration {
		return
	}
	p.after(time.Duration(p.rnd.ExpFloat64()/p.rates[route]*float64(time.Second)), func() { p.arrive(route) })
	for {
		s := p.senders[p.rnd.IntN(len(p.senders))]
		phase := 2 * math.Pi * (float64(elapsed)/float64(_playWavePeriod) + float64(s.zone)/_playZones)
		if p.rnd.Float64()*(1+_playWaveSwing) < 1+_playWaveSwing*math.Sin(phase) {
			p.send(&playCall{route: route, sender: s, startedAt: p.now})
			return
		}
	}
}

// send sends a call to the upstream that its sender chooses.
func (p *play) send(c *playCall) {
	r := p.routes[c.route]
	e, ok := c.sender.pool.Choose(p.now, routing.Query{Service: "s", Versions: config.VersionSet{Only: "v1"}, Route: r.Name, Objective: r.Objective, Tried: c.tried})
	if !ok || len(c.tried) >= _maxRefusals {
		p.finish(c, false)
		return
	}
	c.endpoint = e
	for _, o := range p.owners {
		if o.id == e.Member.ID {
			c.owner = o
		}
	}
	if c.assumed, ok = e.ExpectedTime(p.now, r.Name); !ok || c.sentElsewhere {
		c.assumed = -1
	}
	e.Begin()
	p.after(p.distance(c), func() { p.admit(c) })
}

// distance returns the time for a message between a call's sender and owner.
func (p *play) distance(c *playCall) time.Duration {
	switch from, to := c.sender.zone, c.owner.zone; {
	case from == to:
		return 200 * time.Microsecond
	case from/2 == to/2:
		return 900 * time.Microsecond
	default:
		return 20 * time.Millisecond
	}
}

func (p *play) admit(c *playCall) {
	r := p.routes[c.route]
	if c.assumed >= 0 && isBetterElsewhere(c.owner.gate.Load(), expectedRun(p.now, c.owner.tracker, r.Name), c.assumed) {
		c.sentElsewhere = true
		p.sentElsewhere++
		p.answer(c, false)
		return
	}
	c.ticket = c.owner.gate.Acquire(p.now, admission.Request{
		Class: config.ClassCommand, Deadline: c.startedAt.Add(_playTimeout), Route: r.Name,
		UsefulUntil: c.startedAt.Add(r.Objective), Rank: uint32(1 - c.route),
	})
	c.owner.waiting = append(c.owner.waiting, c)
	p.decide(c.owner)
}

// decide starts or returns the calls of an owner on which its gate has decided.
func (p *play) decide(o *playOwner) {
	var waiting []*playCall
	for _, c := range o.waiting {
		select {
		case <-c.ticket.Decided():
			if c.ticket.Reason() != "" {
				p.answer(c, false)
				continue
			}
			p.start(c)
		default:
			waiting = append(waiting, c)
		}
	}
	o.waiting = waiting
}

func (p *play) start(c *playCall) {
	work := float64(p.works[c.route]) * math.Exp(0.3*p.rnd.NormFloat64())
	if p.rnd.Float64() < 0.03 {
		work *= 7
	}
	startedAt, slowness := p.now, c.owner.tracker.Slowness(p.now)
	p.after(c.owner.end(p.now, time.Duration(work)).Sub(p.now), func() {
		c.owner.gate.Release(p.now, c.ticket, admission.Completed)
		c.owner.tracker.Record(p.now, upstream.Load{Slots: _playSlots, Slowness: c.owner.slownessAt(p.now)})
		c.owner.tracker.RecordRun(p.now, p.routes[c.route].Name, p.now.Sub(startedAt), slowness)
		p.answer(c, true)
		p.decide(c.owner)
	})
}

// answer brings an answer or a refusal with the owner's load to the sender.
func (p *play) answer(c *playCall, ok bool) {
	g := c.owner.gate.Load()
	load := routing.Load{Calls: g.Running + g.Waiting, Slots: g.Limit, AverageDuration: g.AverageDuration}
	if report, reported := c.owner.tracker.Newest(); reported && p.rules.reports {
		route := p.routes[c.route].Name
		load.Reported = routing.ReportedLoad{
			Slots: _playSlots, Slowness: report.Slowness, MeanSlowness: report.MeanSlowness, Age: p.now.Sub(report.At),
			Route: route, Work: c.owner.tracker.Work(route),
		}
	}
	p.after(p.distance(c), func() {
		c.endpoint.End()
		if !ok || p.rules.reports {
			c.endpoint.RecordLoad(p.now, load)
		}
		if ok {
			c.endpoint.RecordSuccess()
			p.finish(c, true)
			return
		}
		if c.ticket != nil {
			c.tried = append(c.tried, c.endpoint)
		}
		p.send(c)
	})
}

func (p *play) finish(c *playCall, answered bool) {
	if c.startedAt.Sub(_playStart) < _playWarmup {
		return
	}
	p.calls++
	switch {
	case !answered:
		p.refused++
	case p.now.Sub(c.startedAt) <= p.routes[c.route].Objective:
		p.inTime++
	}
}

// Upstreams of one service differ in speed, their VMs change theirs many times a
// second, and demand moves through the zones. A choice that knows the figures
// but sends several senders to the same fast upstream, or believes old figures,
// answers no more calls in time than the choice without reports.
func TestReportedLoadAnswersMoreInTime(t *testing.T) {
	for _, test := range []struct {
		rate    float64
		slowVMs bool
		// maxLate bounds the share of late and refused calls with reports, as a share of that without.
		maxLate float64
	}{{1, false, 0.8}, {1.5, false, 0.5}, {1, true, 0.6}} {
		var before, after float64
		for seed := range uint64(2) {
			without := newPlay(playRules{rate: test.rate, slowVMs: test.slowVMs, seed: seed})
			with := newPlay(playRules{rate: test.rate, slowVMs: test.slowVMs, seed: seed, reports: true})
			lateWithout, lateWith := 1-without.run(), 1-with.run()
			before, after = before+lateWithout/2, after+lateWith/2
			t.Logf("rate %.1f, slow VMs %v: without reports %.4f late, %d refused; with reports %.4f late, %d refused, %.3f sent elsewhere",
				test.rate, test.slowVMs, lateWithout, without.refused, lateWith, with.refused, float64(with.sentElsewhere)/float64(with.calls))
		}
		assert.Assert(t, after <= test.maxLate*before, "rate %.1f, slow VMs %v: %.3f late with reports, %.3f without", test.rate, test.slowVMs, after, before)
	}
}
