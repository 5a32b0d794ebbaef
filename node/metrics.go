package node

import (
	"expvar"
	"runtime"
)

// publish names the node's metrics. See docs/operations/metrics.md.
func (n *Node) publish() {
	number := func(name string, value func() uint64) {
		n.metrics.Set(name, expvar.Func(func() any { return value() }))
	}
	number("revision", n.holder.Number)
	number("revisionRefused", func() uint64 { return n.holder.Refusal().Number })
	number("controlBytes", n.controlTraffic.TotalBytes)
	number("membersKnown", func() uint64 { return uint64(len(n.members.Members())) })
	number("upstreamRunning", func() uint64 { return uint64(n.gate.Load().Running) })
	number("upstreamWaiting", func() uint64 { return uint64(n.gate.Load().Waiting) })
	number("upstreamLimit", func() uint64 { return uint64(n.gate.Load().Limit) })
	number("membersGone", func() uint64 { return uint64(len(n.members.Members()) - n.members.Size()) })
	number("ordersUnderWay", func() uint64 { return uint64(len(n.orderBook.UnderWay())) })
	number("quarantines", func() uint64 { return uint64(len(n.quarantines.All())) })
	number("identitiesKept", func() uint64 { return uint64(n.identities.Len()) })
	number("goroutines", func() uint64 { return uint64(runtime.NumGoroutine()) })
	number("heapBytes", func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	if n.deps.DroppedLogLines != nil {
		number("logLinesLeftOut", n.deps.DroppedLogLines)
	}
	n.metrics.Set("upstreamWorkMillis", expvar.Func(func() any { return n.gate.Load().Work.Milliseconds() }))
	n.metrics.Set("state", expvar.Func(func() any { return n.lifecycle.State().String() }))
	n.metrics.Set("controllerRole", expvar.Func(func() any { return n.controller.Holds() }))
}
