package node

import (
	"expvar"
)

// publish names the node's metrics. See docs/operations/metrics.md.
func (n *Node) publish() {
	number := func(name string, value func() uint64) {
		n.vars.Set(name, expvar.Func(func() any { return value() }))
	}
	number("revision", n.holder.Number)
	number("revisionRefused", func() uint64 { return n.holder.Refusal().Number })
	number("controlBytes", n.control.Total)
	number("membersKnown", func() uint64 { return uint64(len(n.table.Members())) })
	number("upstreamRunning", func() uint64 { return uint64(n.gate.Load().Running) })
	number("upstreamWaiting", func() uint64 { return uint64(n.gate.Load().Waiting) })
	number("upstreamLimit", func() uint64 { return uint64(n.gate.Load().Limit) })
	n.vars.Set("state", expvar.Func(func() any { return n.lifecycle.State().String() }))
	n.vars.Set("controllerRole", expvar.Func(func() any { return n.controller.Holds() }))
}
