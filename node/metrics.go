package node

import (
	"expvar"
	"runtime"
)

// publish names the node's metrics. See docs/operations/metrics.md.
func (n *Node) publish() {
	number := func(name string, value func() uint64) {
		n.vars.Set(name, expvar.Func(func() any { return value() }))
	}
	number("revision", n.holder.Number)
	number("revisionRefused", func() uint64 { return n.holder.Refusal().Number })
	number("controlBytes", n.control.TotalBytes)
	number("membersKnown", func() uint64 { return uint64(len(n.table.Members())) })
	number("upstreamRunning", func() uint64 { return uint64(n.gate.Load().Running) })
	number("upstreamWaiting", func() uint64 { return uint64(n.gate.Load().Waiting) })
	number("upstreamLimit", func() uint64 { return uint64(n.gate.Load().Limit) })
	number("membersGone", func() uint64 { return uint64(len(n.table.Members()) - n.table.Size()) })
	number("ordersUnderWay", func() uint64 { return uint64(len(n.book.UnderWay())) })
	number("quarantines", func() uint64 { return uint64(len(n.quarantines.All())) })
	number("identitiesKept", func() uint64 { return uint64(n.record.Len()) })
	number("goroutines", func() uint64 { return uint64(runtime.NumGoroutine()) })
	number("heapBytes", func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	if n.d.DroppedLogLines != nil {
		number("logLinesLeftOut", n.d.DroppedLogLines)
	}
	n.vars.Set("upstreamWorkMillis", expvar.Func(func() any { return n.gate.Load().Work.Milliseconds() }))
	n.vars.Set("state", expvar.Func(func() any { return n.lifecycle.State().String() }))
	n.vars.Set("controllerRole", expvar.Func(func() any { return n.controller.Holds() }))
}
