// Package allotment limits the calls of each workspace over all nodes together.
// Each node admits calls by itself (Ledger) and reports what it counted. A
// collector for each zone adds up the reports of its nodes (Collector), and one
// of the collectors, the bucket holder, keeps the token bucket of each workspace
// and determines which fraction of the calls may be admitted (Holder).
//
// The package does no I/O: its callers deliver the reports and the states that
// answer them, and pass in the current time.
package allotment

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilferry.example/lentilferry/config"
)

// Limits states by how much the calls that are admitted may exceed the rates
// and bursts of workspaces: in any Window, at most (rate x Window + burst) x
// (1 + Overage) + Slack calls of a workspace.
type Limits struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultLimits returns the limits of a node whose settings name none.
func DefaultLimits() Limits {
	return Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

const (
	// StaleAfter is how long a node acts on a state of the holder. It covers the
	// longest report interval, the wait for the collector's exchange and one lost
	// message; then the node falls back to a fixed share.
	StaleAfter = 1250 * time.Millisecond
	// ScarceInterval is the time between reports of a node while a workspace is
	// scarce.
	ScarceInterval = 200 * time.Millisecond
	// CalmInterval is the time between reports while none is. A jump of demand is
	// detected within it.
	CalmInterval = 300 * time.Millisecond
	// ExchangeInterval is the least time between a collector's exchanges with
	// the holder.
	ExchangeInterval = 200 * time.Millisecond
	// ExchangeTimeout bounds an exchange with the holder.
	ExchangeTimeout = 300 * time.Millisecond
	// ReportTimeout bounds a report to a collector, which answers it after its
	// next exchange.
	ReportTimeout = 700 * time.Millisecond
)

const (
	// _usableOverage is the part of Limits.Overage by which the shares of nodes
	// that hear from the holder and of those that don't may add up to more than
	// the rate. The rest covers what is admitted before a jump of demand is
	// noticed.
	_usableOverage = 0.25
	// _burstSlack is the part of Limits.Slack that is added to each burst. It keeps
	// the random variation of small workspaces from causing refusals.
	_burstSlack = 0.2
	// _fallbackSlack is the part of Limits.Slack that is added to the burst when
	// fixed shares are in force. It is divided between the nodes.
	_fallbackSlack = 0.3
	// _scarceFraction is the fraction of the demand that could be admitted below
	// which nodes are told of a workspace. At 2.5 it uses 0.8 of its rate while
	// its bucket is full; below that, what it didn't use covers a jump.
	_scarceFraction = 2.5
	// _repayTime is the time in which a bucket's tokens, or its debt, are spread
	// over the calls. It is twice the time from a call to its effect on the
	// state; half of that would make the fraction oscillate.
	_repayTime = time.Second
	// _demandTime smooths the demand. It covers the reports of all zones, so
	// that the order in which they arrive doesn't matter.
	_demandTime = 400 * time.Millisecond
	// _jumpDeviations is by how many standard deviations the calls of one report
	// have to exceed the expected number to count as a jump of demand.
	_jumpDeviations = 3
	// _usualTime smooths the demand at one node.
	_usualTime = time.Second
	// _longExchangeInterval replaces ExchangeInterval in fleets of more than
	// _largeFleet nodes, so that the holder of 1,100 nodes gets no more than 160
	// reports a second.
	_longExchangeInterval = 300 * time.Millisecond
	_largeFleet           = 500
	// _lateAfter is how long the holder hears nothing from a zone when it reserves
	// the fixed shares of its nodes. Reports come every 500 ms at most.
	_lateAfter = 800 * time.Millisecond
	// _settleTime is how long a new holder collects reports before it answers.
	_settleTime = 600 * time.Millisecond
	// _slots is the number of slots in which a window is counted.
	_slots = 10
)

// WorkspaceID identifies a workspace in reports; it is shorter than its name.
type WorkspaceID uint64

// IDOf returns the ID of a workspace.
func IDOf(name config.WorkspaceName) WorkspaceID {
	return WorkspaceID(xxhash.Sum64String(string(name)))
}

// Count is what was counted for one workspace since the start of the source's
// epoch.
type Count struct {
	Workspace WorkspaceID
	Asked     uint64
	// Admitted is lower than in an earlier report if calls were given back since.
	Admitted uint64
	// Recent is what was admitted in the last window, in slots of a tenth of it,
	// the newest first. It is set in full reports only.
	Recent []uint32
}

// Report is what a source, which is a node or the collector of a zone, has
// counted.
type Report struct {
	Source string
	// Zone is the part of the fleet that the source covers. Reports of another
	// source for the same zone replace it.
	Zone string
	// Epoch identifies the counters of the source: they start at zero in each.
	Epoch uint64
	// Sequence grows with each report of an epoch.
	Sequence uint64
	// Nodes is the number of nodes whose counts are included.
	Nodes int
	// Vouched is for how long the counts go back, on average over the nodes, at
	// most one window.
	Vouched time.Duration
	// Full is set if Counts holds all workspaces with calls in the last window.
	// Otherwise it holds those with calls since the last report that was
	// answered.
	Full   bool
	Counts []Count
}

// Fraction is the part of a workspace's calls that may be admitted; above one,
// all calls may be, and the demand may grow by that factor.
type Fraction struct {
	Workspace WorkspaceID
	Value     float64
}

// State answers a report.
type State struct {
	// Resend is set if the receiver needs a full report.
	Resend bool
	// Ready is set if Scarce is valid. Workspaces that Scarce doesn't list may
	// admit all calls.
	Ready bool
	// Age is the time since the holder determined the state.
	Age    time.Duration
	Scarce []Fraction
}

// ring counts calls in the slots of the last window.
type ring struct {
	counts [_slots]int64
	// newest is the number of the newest slot since the Unix epoch.
	newest int64
}

// advance clears the slots that have left the window.
func (r *ring) advance(now time.Time, window time.Duration) {
	newest := now.UnixNano() / int64(window/_slots)
	for i := range min(newest-r.newest, _slots) {
		r.counts[(newest-i)%_slots] = 0
	}
	r.newest = max(r.newest, newest)
}

func (r *ring) add(now time.Time, window time.Duration, n int64) {
	r.advance(now, window)
	r.counts[r.newest%_slots] += n
}

// recent returns the counts, the newest first.
func (r *ring) recent(now time.Time, window time.Duration) [_slots]int64 {
	r.advance(now, window)
	var counts [_slots]int64
	for i := range int64(_slots) {
		counts[i] = r.counts[(r.newest-i)%_slots]
	}
	return counts
}

// addRecent adds counts that another node has sent, the newest first.
func (r *ring) addRecent(now time.Time, window time.Duration, counts []uint32) {
	r.advance(now, window)
	for i := range min(len(counts), _slots) {
		r.counts[(r.newest-int64(i))%_slots] += int64(counts[i])
	}
}

func (r *ring) total(now time.Time, window time.Duration) int64 {
	total := int64(0)
	for _, n := range r.recent(now, window) {
		total += n
	}
	return total
}
