package allotment

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"lentilferry.example/lentilferry/config"
)

const (
	_simStep = 10 * time.Millisecond
)

// event is a step of the simulation at a time.
type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is one simulated node with all roles.
type simNode struct {
	name      string
	zone      int
	process   int
	alive     bool
	ledger    *Ledger
	collector *Collector
	holder    *Holder
	toZone    *Preference
	toHolder  *Preference
	// waiting are the answers that the collector owes, and exchanging is set
	// while it waits for the holder.
	waiting    []func()
	exchanging bool
}

// fleet is a set of simulated nodes and links. It has no network and its own
// time.
type fleet struct {
	now        time.Time
	queue      eventQueue
	rnd        *rand.Rand
	limits     Limits
	nodes      []*simNode
	zones      int
	size       int
	workspaces []config.Workspace
	// side is the side of the partition on which each zone is.
	side []int
	loss float64
	// demand is the number of calls a second of each workspace, over all nodes.
	demand []float64
	// skew is the fraction of the calls that go to a quarter of the nodes. The
	// others go to any node.
	skew float64
	// admitted and asked hold the times of calls of each workspace.
	admitted, asked [][]time.Time
}

func newFleet(rnd *rand.Rand, zones, perZone int, workspaces []config.Workspace) *fleet {
	f := &fleet{
		now: time.Unix(1_800_000_000, 0), rnd: rnd, limits: DefaultLimits(), zones: zones, size: zones * perZone, workspaces: workspaces,
		side: make([]int, zones), demand: make([]float64, len(workspaces)),
		admitted: make([][]time.Time, len(workspaces)), asked: make([][]time.Time, len(workspaces)),
	}
	for i := range f.size {
		n := &simNode{name: "n" + strconv.Itoa(i), zone: i % zones}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.queue, event{at: f.now.Add(d), run: run})
}

// start starts a process of a node, which has heard from no other.
func (f *fleet) start(n *simNode) {
	n.process++
	n.alive = true
	zone, epoch := strconv.Itoa(n.zone), uint64(n.process)<<32
	n.ledger = NewLedger(f.limits, n.name, zone, epoch, f.now, f.rnd.Float64)
	n.collector = NewCollector(f.limits, n.name, zone, epoch)
	n.holder = NewHolder(f.limits)
	n.toZone, n.toHolder = NewPreference(), NewPreference()
	n.waiting, n.exchanging = nil, false
	n.ledger.SetNodes(f.size)
	f.configure(n)
	f.after(time.Duration(f.rnd.Float64()*float64(CalmInterval)), func() { f.report(n, n.process) })
}

func (f *fleet) configure(n *simNode) {
	n.ledger.SetWorkspaces(f.now, f.workspaces)
	n.collector.SetWorkspaces(f.workspaces)
	n.holder.SetWorkspaces(f.now, f.workspaces)
}

// call sends a message from one node to another. Either serve runs at the
// receiver, which then calls reply once, or the sender learns of the failure.
func (f *fleet) call(from, to *simNode, timeout time.Duration, serve func(reply func(func()))) (failed func(func())) {
	done := false
	process := from.process
	arrives := func() bool {
		return from == to || (f.side[from.zone] == f.side[to.zone] && f.rnd.Float64() >= f.loss)
	}
	delay := func() time.Duration {
		if from.zone == to.zone {
			return time.Millisecond
		}
		return time.Millisecond + time.Duration(f.rnd.Int64N(int64(24*time.Millisecond)))
	}
	reply := func(run func()) {
		if !to.alive || !arrives() {
			return
		}
		f.after(delay(), func() {
			if !done && from.alive && from.process == process {
				done = true
				run()
			}
		})
	}
	if arrives() {
		f.after(delay(), func() {
			if to.alive {
				serve(reply)
			}
		})
	}
	return func(run func()) {
		f.after(timeout, func() {
			if !done && from.alive && from.process == process {
				done = true
				run()
			}
		})
	}
}

func names(nodes []*simNode) []string {
	all := make([]string, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, n.name)
	}
	return all
}

// report sends a node's report to the collector of its zone, again and again.
func (f *fleet) report(n *simNode, process int) {
	if !n.alive || n.process != process {
		return
	}
	var candidates []*simNode
	for _, m := range f.nodes {
		if m.zone == n.zone && len(candidates) < 2 {
			candidates = append(candidates, m)
		}
	}
	receiver := candidates[n.toZone.Pick(f.now, names(candidates))]
	r := n.ledger.Report(f.now, receiver.name)
	next := func() { f.awaitReport(n, process, f.now.Add(n.ledger.Interval())) }
	failed := f.call(n, receiver, ReportTimeout, func(reply func(func())) {
		taken := receiver.collector.Receive(f.now, r)
		if !taken {
			reply(func() {
				n.ledger.Apply(f.now, receiver.name, r.Sequence, State{Resend: true})
				f.report(n, process)
			})
			return
		}
		receiver.waiting = append(receiver.waiting, func() {
			st := receiver.collector.State(f.now)
			reply(func() {
				n.toZone.Record(f.now, receiver.name, true)
				n.ledger.Apply(f.now, receiver.name, r.Sequence, st)
				next()
			})
		})
		if !receiver.exchanging {
			receiver.exchanging = true
			p := receiver.process
			f.after(receiver.collector.ExchangeDelay(f.now, f.size), func() { f.exchange(receiver, p) })
		}
	})
	failed(func() {
		n.toZone.Record(f.now, receiver.name, false)
		next()
	})
}

// awaitReport waits for the next report, less long if demand has jumped.
func (f *fleet) awaitReport(n *simNode, process int, due time.Time) {
	if n.process != process {
		return
	}
	select {
	case <-n.ledger.Urgent():
		due = f.now
	default:
	}
	if !f.now.Before(due) {
		f.report(n, process)
		return
	}
	f.after(_simStep, func() { f.awaitReport(n, process, due) })
}

// exchange sends the sums of a zone to the holder and answers the nodes.
func (f *fleet) exchange(n *simNode, process int) {
	if !n.alive || n.process != process {
		return
	}
	holders := f.nodes[:f.zones]
	receiver := holders[n.toHolder.Pick(f.now, names(holders))]
	r := n.collector.Report(f.now, receiver.name)
	answer := func() {
		n.exchanging = false
		for _, run := range n.waiting {
			run()
		}
		n.waiting = nil
	}
	failed := f.call(n, receiver, ExchangeTimeout, func(reply func(func())) {
		receiver.holder.SetMembers(f.size)
		st := State{Resend: true}
		if receiver.holder.Receive(f.now, r) {
			st = receiver.holder.State(f.now)
		}
		reply(func() {
			n.toHolder.Record(f.now, receiver.name, true)
			n.collector.Apply(f.now, receiver.name, r.Sequence, st)
			if st.Resend {
				f.exchange(n, process)
				return
			}
			answer()
		})
	})
	failed(func() {
		n.toHolder.Record(f.now, receiver.name, false)
		answer()
		if n.collector.HasSources(f.now) {
			n.exchanging = true
			f.exchange(n, process)
		}
	})
}

// run lets time pass while callers send calls to random nodes.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(_simStep) {
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			next := f.queue[0]
			heap.Pop(&f.queue)
			next.run()
		}
		for i, w := range f.workspaces {
			for left := f.demand[i] * _simStep.Seconds(); f.rnd.Float64() < left; left-- {
				receivers := f.nodes
				if f.rnd.Float64() < f.skew {
					receivers = f.nodes[:(f.size+3)/4]
				}
				n := receivers[f.rnd.IntN(len(receivers))]
				if !n.alive {
					continue
				}
				f.asked[i] = append(f.asked[i], f.now)
				if ok, _ := n.ledger.Take(f.now, w.Name); ok {
					f.admitted[i] = append(f.admitted[i], f.now)
				}
			}
		}
	}
}

// kill ends a node's process and starts another one after a while.
func (f *fleet) kill(n *simNode, down time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	f.after(down, func() { f.start(n) })
}

// refused returns the number of calls of the first workspace that were refused.
func (f *fleet) refused() int {
	return len(f.asked[0]) - len(f.admitted[0])
}

// busiest returns the largest number of calls in any window.
func busiest(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
