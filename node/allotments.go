package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/allotment"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/wire"
)

const (
	// _roleAllotments is the role of the collector of a zone, and
	// _roleAllotmentHolder that of the collector that keeps the buckets.
	_roleAllotments      = "allotments"
	_roleAllotmentHolder = "allotment-holder"
	// _nodesPerCollector is the number of nodes up to which a zone has one
	// collector. Larger zones have more, so that none gets more than about 80
	// reports a second.
	_nodesPerCollector = 24
	// _urgentReportDelay is the least time between two reports.
	_urgentReportDelay = 50 * time.Millisecond
	// _answerMargin is how long before the end of ReportTimeout a collector
	// answers without having heard from the holder.
	_answerMargin = 100 * time.Millisecond
	// _youngAge is the age up to which a node takes the members that the rosters
	// list for running although it doesn't know them yet, and _newbornAge that up
	// to which it assumes _assumedNodes if there are no rosters either. Without
	// it, nodes that start together would each take the whole allotment.
	_youngAge     = 30 * time.Second
	_newbornAge   = 5 * time.Second
	_assumedNodes = 64
	// _maxScarceListed bounds the workspaces in the metrics.
	_maxScarceListed = 8
)

// allotments are this node's parts in limiting the calls of workspaces.
type allotments struct {
	ledger    *allotment.Ledger
	collector *allotment.Collector
	holder    *allotment.Holder
	// configured holds a token after the workspaces have changed.
	configured chan struct{}
	// exchangeNeeded holds a token while nodes wait for an exchange.
	exchangeNeeded chan struct{}
	// workspacesOf is the revision that the workspaces were taken from, 0 for
	// none. Only refresh uses it.
	workspacesOf uint64
	// rosterSize is the number of addresses that the rosters list.
	rosterSize atomic.Int64

	mu sync.Mutex
	// exchanged is closed after the next exchange with the holder.
	exchanged chan struct{}
}

func newAllotments(limits allotment.Limits, self membership.Member, now time.Time) *allotments {
	name, zone := string(self.ID), string(self.Zone)
	return &allotments{
		ledger:         allotment.NewLedger(limits, name, zone, self.Incarnation, now, rand.Float64),
		collector:      allotment.NewCollector(limits, name, zone, self.Incarnation),
		holder:         allotment.NewHolder(limits),
		configured:     make(chan struct{}, 1),
		exchangeNeeded: make(chan struct{}, 1),
		exchanged:      make(chan struct{}),
	}
}

// notify puts a token into a channel that may hold one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateAllotments applies the workspaces of the configuration in force and the
// number of nodes.
func (n *Node) updateAllotments(now time.Time, revision uint64, c config.Config) {
	a := n.allotments
	nodes := n.nodeCount(now)
	a.holder.SetMembers(nodes)
	a.ledger.SetNodes(nodes)
	if a.workspacesOf == revision {
		return
	}
	a.workspacesOf = revision
	a.holder.SetWorkspaces(now, c.Workspaces)
	a.collector.SetWorkspaces(c.Workspaces)
	a.ledger.SetWorkspaces(now, c.Workspaces)
	notify(a.configured)
}

// nodeCount returns the number of nodes that may admit calls, as far as it is
// known. A node that has just started knows few others.
func (n *Node) nodeCount(now time.Time) int {
	count := n.members.MemberCount()
	age, listed := now.Sub(n.startedAt), int(n.allotments.rosterSize.Load())
	if age < _youngAge {
		count = max(count, listed)
	}
	if age < _newbornAge && listed <= 1 {
		count = max(count, _assumedNodes)
	}
	return count
}

// reportAllotments reports the calls of workspaces to the collector of the zone
// until the context ends. While no workspace has a rate, it waits for a
// configuration.
func (n *Node) reportAllotments(ctx context.Context) {
	preference := allotment.NewPreference()
	wasFresh := true
	for ctx.Err() == nil {
		a := n.allotments
		if !a.ledger.Active() {
			select {
			case <-ctx.Done():
			case <-a.configured:
			}
			continue
		}
		n.reportAllotmentsOnce(ctx, preference)
		if fresh := a.ledger.IsFresh(n.deps.Now()); fresh != wasFresh {
			wasFresh = fresh
			n.deps.Logger.Info("Allotment source changed", "fixedShares", !fresh, "nodes", n.nodeCount(n.deps.Now()))
		}
		n.awaitAllotmentReport(ctx)
	}
}

// awaitAllotmentReport waits until the next report is due. A jump of demand makes
// it due at once.
func (n *Node) awaitAllotmentReport(ctx context.Context) {
	interval := n.allotments.ledger.Interval()
	sleep(ctx, _urgentReportDelay)
	timer := time.NewTimer(interval*9/10 + n.jitter(interval/5) - _urgentReportDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.allotments.ledger.Urgent():
	}
}

// reportAllotmentsOnce sends one report and applies the answer.
func (n *Node) reportAllotmentsOnce(ctx context.Context, preference *allotment.Preference) {
	candidates := n.allotmentCollectors()
	chosen := preference.Pick(n.deps.Now(), memberNames(candidates))
	if chosen < 0 {
		return
	}
	receiver := candidates[chosen]
	for range 2 {
		report := n.allotments.ledger.Report(n.deps.Now(), receiver.Instance())
		st, err := n.sendAllotments(ctx, receiver, report, false, allotment.ReportTimeout)
		now := n.deps.Now()
		preference.Record(now, string(receiver.ID), err == nil)
		if err != nil {
			n.deps.Logger.V(1).Info("Allotments not reported", "collector", receiver.ID, "cause", err.Error())
			return
		}
		began, ended := n.allotments.ledger.Apply(now, receiver.Instance(), report.Sequence, st)
		for _, name := range began {
			n.deps.Logger.Info("Workspace exceeds its allotment", "workspace", name)
		}
		for _, name := range ended {
			n.deps.Logger.Info("Workspace is within its allotment again", "workspace", name)
		}
		if !st.Resend {
			return
		}
	}
}

// allotmentCollectors returns the collectors of the zone and one in reserve, this
// node's first choice first.
func (n *Node) allotmentCollectors() []membership.Member {
	members := n.members.ZoneMembers(n.deps.Zone)
	count := collectorCount(len(members))
	collectors := membership.RoleHolders(members, _roleAllotments, count+1)
	first := int(xxhash.Sum64String(string(n.deps.ID)) % uint64(count))
	if first >= len(collectors) {
		return collectors
	}
	return append(collectors[first:], collectors[:first]...)
}

// collectorCount returns the number of collectors of a zone with the given number
// of members.
func collectorCount(members int) int {
	return max(1, (members+_nodesPerCollector-1)/_nodesPerCollector)
}

func memberNames(members []membership.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, string(m.ID))
	}
	return names
}

// sendAllotments sends a report to a node, which may be this one, and returns the
// answer.
func (n *Node) sendAllotments(ctx context.Context, to membership.Member, report allotment.Report, zoneTotal bool, timeout time.Duration) (allotment.State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if to.ID == n.deps.ID {
		return n.ReceiveAllotmentReport(ctx, report, zoneTotal), nil
	}
	response, err := n.clients.For(to.PeerAddress).ReportAllotments(ctx, connect.NewRequest(wire.EncodeAllotmentReport(report, zoneTotal)))
	if err != nil {
		return allotment.State{}, errors.Wrap(err, "report allotments")
	}
	return wire.DecodeAllotmentState(response.Msg)
}

// ReceiveAllotmentReport takes a report of a node of this zone, which it answers
// after the next exchange with the holder, or, with zoneTotal set, of a zone.
func (n *Node) ReceiveAllotmentReport(ctx context.Context, r allotment.Report, zoneTotal bool) allotment.State {
	a := n.allotments
	if zoneTotal {
		if !a.holder.Receive(n.deps.Now(), r) {
			return allotment.State{Resend: true}
		}
		return a.holder.State(n.deps.Now())
	}
	a.mu.Lock()
	exchanged := a.exchanged
	a.mu.Unlock()
	if !a.collector.Receive(n.deps.Now(), r) {
		return allotment.State{Resend: true}
	}
	notify(a.exchangeNeeded)
	timer := time.NewTimer(allotment.ReportTimeout - _answerMargin)
	defer timer.Stop()
	select {
	case <-exchanged:
	case <-ctx.Done():
	case <-timer.C:
	}
	return a.collector.State(n.deps.Now())
}

// exchangeAllotments exchanges the zone's reports with the holder, whenever nodes
// have reported to this one.
func (n *Node) exchangeAllotments(ctx context.Context) {
	a := n.allotments
	preference := allotment.NewPreference()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.exchangeNeeded:
		}
		sleep(ctx, a.collector.ExchangeDelay(n.deps.Now(), n.members.MemberCount()))
		a.collector.SetSole(collectorCount(n.members.ZoneRecordCount(n.deps.Zone)) == 1)
		err := n.exchangeAllotmentsOnce(ctx, preference)
		a.mu.Lock()
		close(a.exchanged)
		a.exchanged = make(chan struct{})
		a.mu.Unlock()
		if err != nil {
			n.deps.Logger.V(1).Info("Allotments not exchanged", "cause", err.Error())
			if a.collector.HasSources(n.deps.Now()) {
				notify(a.exchangeNeeded)
			}
		}
	}
}

// exchangeAllotmentsOnce reports the zone's calls to the holder and keeps the
// answer.
func (n *Node) exchangeAllotmentsOnce(ctx context.Context, preference *allotment.Preference) error {
	candidates := n.allotmentHolders()
	chosen := preference.Pick(n.deps.Now(), memberNames(candidates))
	if chosen < 0 {
		return errors.New("no live member")
	}
	receiver := candidates[chosen]
	for range 2 {
		report := n.allotments.collector.Report(n.deps.Now(), receiver.Instance())
		st, err := n.sendAllotments(ctx, receiver, report, true, allotment.ExchangeTimeout)
		now := n.deps.Now()
		preference.Record(now, string(receiver.ID), err == nil)
		if err != nil {
			return errors.Wrapf(err, "holder %s", receiver.ID)
		}
		n.allotments.collector.Apply(now, receiver.Instance(), report.Sequence, st)
		if !st.Resend {
			return nil
		}
	}
	return nil
}

// allotmentHolders returns the collectors of all zones, the preferred holder
// first.
func (n *Node) allotmentHolders() []membership.Member {
	zones := append(n.members.OtherZones(), n.deps.Zone)
	collectors := make([]membership.Member, 0, len(zones))
	for _, zone := range zones {
		collectors = append(collectors, membership.RoleHolders(n.members.ZoneMembers(zone), _roleAllotments, 1)...)
	}
	return membership.RoleHolders(collectors, _roleAllotmentHolder, len(collectors))
}
