package node

import (
	"expvar"
	"runtime"
)

// registerMetrics registers the node's metrics. See docs/operations/metrics.md.
func (n *Node) registerMetrics() {
	gauge := func(name string, value func() uint64) {
		n.metrics.Set(name, expvar.Func(func() any { return value() }))
	}
	gauge("revision", n.holder.Number)
	gauge("revisionRefused", func() uint64 { return n.holder.Refusal().Number })
	gauge("controlBytes", n.controlTraffic.TotalBytes)
	gauge("membersKnown", func() uint64 { return uint64(len(n.members.Members())) })
	gauge("upstreamRunning", func() uint64 { return uint64(n.gate.Load().Running) })
	gauge("upstreamWaiting", func() uint64 { return uint64(n.gate.Load().Waiting) })
	gauge("upstreamLimit", func() uint64 { return uint64(n.gate.Load().Limit) })
	gauge("upstreamLoadInvalid", n.upstreamLoad.InvalidCount)
	n.metrics.Set("upstreamEndings", expvar.Func(func() any {
		counts := n.upstreamClient.EndingCounts()
		return map[string]uint64{
			"closed": counts.Closed, "failedReading": counts.FailedReading,
			"failedSending": counts.FailedSending, "failedUnseen": counts.FailedUnseen,
		}
	}))
	n.metrics.Set("upstreamSlowness", expvar.Func(func() any { return n.upstreamLoad.Slowness(n.deps.Now()) }))
	gauge("membersGone", func() uint64 { return uint64(len(n.members.Members()) - n.members.MemberCount()) })
	gauge("ordersUnderWay", func() uint64 { return uint64(len(n.orderTable.Active())) })
	gauge("quarantines", func() uint64 { return uint64(len(n.quarantines.All())) })
	gauge("callsBlocked", func() uint64 { return uint64(n.crashes.BlockedCount(n.deps.Now())) })
	gauge("blockedCallsRefused", n.crashes.RefusedCount)
	gauge("bufferedBytes", func() uint64 { return uint64(n.buffers.Held()) })
	gauge("identitiesKept", func() uint64 { return uint64(n.identities.Len()) })
	n.registerAllotmentMetrics(gauge)
	gauge("callersClosedIdle", n.callerConns.ClosedCount)
	gauge("requestsAtIdleClose", n.callerConns.CrossedCount)
	gauge("connectionsOpen", func() uint64 { return uint64(n.guard.Counts().Open) })
	gauge("headerBytes", func() uint64 { return uint64(n.guard.Counts().HeaderBytes) })
	gauge("connectionsEndedForHeaders", func() uint64 { return n.guard.Counts().EndedForHeaders })
	gauge("connectionsEndedForOthers", func() uint64 { return n.guard.Counts().EndedForOthers })
	gauge("connectionsRefused", func() uint64 { return n.guard.Counts().Refused })
	gauge("goroutines", func() uint64 { return uint64(runtime.NumGoroutine()) })
	gauge("heapBytes", func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	if n.pipelines != nil {
		gauge("connectionsPipelined", n.pipelines.TakenOverCount)
		gauge("requestsAhead", n.pipelines.AheadCount)
		gauge("responsesHeld", n.pipelines.HeldCount)
		gauge("responseBytesHeld", func() uint64 { return uint64(n.pipelines.HeldBytes()) })
	}
	if n.departures != nil {
		gauge("departuresUnrecorded", func() uint64 { return uint64(n.departures.PendingCount()) })
	}
	if n.deps.StoreEra != nil {
		gauge("storeEra", func() uint64 {
			era, _ := n.deps.StoreEra()
			return era
		})
	}
	if n.deps.DroppedLogLines != nil {
		gauge("logLinesLeftOut", n.deps.DroppedLogLines)
	}
	n.metrics.Set("upstreamWorkMillis", expvar.Func(func() any { return n.gate.Load().AverageDuration.Milliseconds() }))
	n.metrics.Set("state", expvar.Func(func() any { return n.lifecycle.State().String() }))
	n.metrics.Set("controllerRole", expvar.Func(func() any { return n.controller.HoldsLease() }))
}

// registerAllotmentMetrics registers the metrics of the limits of workspaces.
func (n *Node) registerAllotmentMetrics(gauge func(string, func() uint64)) {
	ledger := n.allotments.ledger
	gauge("allotmentsAdmitted", func() uint64 {
		admitted, _ := ledger.Totals()
		return admitted
	})
	gauge("allotmentsRefused", func() uint64 {
		_, refused := ledger.Totals()
		return refused
	})
	gauge("allotmentStateAgeMillis", func() uint64 {
		if !ledger.Active() {
			return 0
		}
		return uint64(max(0, ledger.SinceAnswer(n.deps.Now()).Milliseconds()))
	})
	n.metrics.Set("allotmentsScarce", expvar.Func(func() any { return ledger.Scarce(_maxScarceListed) }))
}
