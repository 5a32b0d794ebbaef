package call

import (
	"context"
	"io"

	"lentilferry.example/lentilferry/crash"
)

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
	body := newReplayBody(c.request.Body)
	body.prefetch(ctx, c.request.ContentLength)
	c.body = body.newAttempt()
	content, known := contentOf(target, body, c.request.ContentLength)
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

// requestBody returns the body to send to the upstream.
func (c *ownerCall) requestBody() io.Reader {
	if c.body != nil {
		return c.body
	}
	return c.request.Body
}
