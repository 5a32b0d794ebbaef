package node

import (
	"time"

	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/membership"
)

// BlockedCalls returns all records of calls that were running when upstreams
// crashed, those that are not blocked included.
func (n *Node) BlockedCalls(now time.Time) []crash.Record {
	return n.crashes.Records(now)
}

// LiftBlockedCall clears a call for an operator, here and at the other nodes,
// and returns its record as it was before; false if the call is not on record.
// It changes nothing if the call was cleared before.
func (n *Node) LiftBlockedCall(now time.Time, content crash.Content, operator string) (crash.Record, bool) {
	before, lifted := n.crashes.Lift(now, content)
	if !lifted {
		return n.blockedCall(now, content)
	}
	n.deps.Logger.Info("Lifted block of call", "content", content.String(), "label", before.Label, "operator", operator)
	n.crashesChanged()
	return before, true
}

// blockedCall returns the record of a call; false if there is none.
func (n *Node) blockedCall(now time.Time, content crash.Content) (crash.Record, bool) {
	for _, r := range n.crashes.Records(now) {
		if r.Content == content {
			return r, true
		}
	}
	return crash.Record{}, false
}

// crashesChanged sends the records of crashes to the other nodes.
func (n *Node) crashesChanged() {
	n.broadcasts.Add(membership.ScopeAllZones)
}
