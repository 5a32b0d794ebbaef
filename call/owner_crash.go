package call

import (
	"context"
	"time"

	"lentilferry.example/lentilferry/crash"
)

// ProcessProbe tells whether processes of the upstream have ended.
type ProcessProbe interface {
	// HasEnded reports whether the process with the given number, as counted by
	// connections to the address, has ended.
	HasEnded(ctx context.Context, address string, process uint64) bool
}

// _probeTimeout bounds the check whether the upstream's process has ended, which
// is a connection on the same VM.
const _probeTimeout = 200 * time.Millisecond

// upstreamEnded reports whether the upstream process with the given number has
// ended without having said that it leaves.
func (c *ownerCall) upstreamEnded(ctx context.Context, process uint64) bool {
	o := c.owner
	if o.deps.Probe == nil || o.deps.Process != nil && o.deps.Process.IsLeaving(c.process) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _probeTimeout)
	defer cancel()
	return o.deps.Probe.HasEnded(ctx, o.upstream, process)
}

// checkCrashes returns Answered if the call may be sent to the upstream. It
// refuses one that has crashed upstreams since the ingress forwarded it, or that
// comes from an ingress which doesn't know of that yet.
func (c *ownerCall) checkCrashes(ctx context.Context) Result {
	o := c.owner
	if o.deps.Crashes.Empty() {
		return Result{Outcome: Answered}
	}
	target := targetOf(c.request, c.forwarded.sourceService)
	if !o.deps.Crashes.Suspects(target) {
		return Result{Outcome: Answered}
	}
	c.body.prefetch(ctx, c.request.ContentLength)
	content, known := contentOf(target, c.body, c.request.ContentLength)
	if !known {
		return Result{Outcome: Answered}
	}
	self := o.deps.Self()
	wait, blocked := o.deps.Crashes.IsBlocked(o.deps.Now(), content, crash.Runner{Service: self.Service, Version: self.Version})
	if !blocked {
		return Result{Outcome: Answered}
	}
	o.deps.Logger.Info("Call has crashed upstreams", "call", c.forwarded.id, "content", content.String(), "verdict", crash.Blocked.String(),
		"service", self.Service, "version", self.Version, "wait", wait)
	result := o.notRun(ReasonCrashesUpstreams)
	result.RetryAfter = wait
	return result
}
