package call

import (
	"context"

	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/routing"
)

// runnerOf returns what runs a call that is sent to an endpoint.
func runnerOf(endpoint *routing.Endpoint) crash.Runner {
	return crash.Runner{Service: endpoint.Member.Service, Version: endpoint.Member.Version}
}

// content returns the call's content, and false if the call's body isn't known to
// its end.
func (c *ingressCall) content() (crash.Target, crash.Content, bool) {
	target := targetOf(c.request, c.ingress.deps.SourceService)
	content, known := contentOf(target, c.body, c.request.ContentLength)
	return target, content, known
}

// checkCrashes returns Answered if the call may be sent to the endpoint, and why
// not if it has crashed upstreams like it.
func (c *ingressCall) checkCrashes(ctx context.Context, endpoint *routing.Endpoint) Result {
	deps := c.ingress.deps
	if deps.Crashes.Empty() || !deps.Crashes.Suspects(targetOf(c.request, deps.SourceService)) {
		return Result{Outcome: Answered}
	}
	c.body.prefetch(ctx, c.request.ContentLength)
	_, content, known := c.content()
	if !known {
		return Result{Outcome: Answered}
	}
	verdict, wait := deps.Crashes.Check(deps.Now(), content, runnerOf(endpoint), deps.NodeCount())
	if verdict == crash.Allowed {
		return Result{Outcome: Answered}
	}
	deps.Logger.Info("Call has crashed upstreams", "call", c.id, "content", content.String(), "verdict", verdict.String(),
		"service", endpoint.Member.Service, "version", endpoint.Member.Version, "wait", wait)
	if verdict == crash.Blocked {
		return Result{Outcome: NotRun, Reason: ReasonCrashesUpstreams, RetryAfter: wait}
	}
	c.isTrial = true
	deps.CrashesChanged()
	return Result{Outcome: Answered}
}

// reportCrashes passes on what the result of an attempt shows of the upstream's
// crashes.
func (c *ingressCall) reportCrashes(endpoint *routing.Endpoint, result Result) {
	switch {
	case result.Reason == ReasonUpstreamCrashed:
		c.reportCrash(endpoint, result)
	case result.Outcome == Answered:
		c.reportAnswer(endpoint)
	case c.isTrial:
		if _, content, known := c.content(); known {
			c.ingress.deps.Crashes.EndTrial(content, runnerOf(endpoint))
		}
	}
	c.isTrial = false
}

func (c *ingressCall) reportCrash(endpoint *routing.Endpoint, result Result) {
	deps := c.ingress.deps
	deps.Metrics.crashes.Add(1)
	target, content, known := c.content()
	if !known {
		deps.Logger.Info("Upstream crashed while it ran a call of unknown content", "call", c.id, "upstream", endpoint.Member.ID)
		return
	}
	now := deps.Now()
	crashed := crash.Crash{Process: result.crash.process, Runner: runnerOf(endpoint), StartedAt: now.Add(-result.crash.ranFor), At: now}
	record, changed := deps.Crashes.RecordCrash(now, crash.Call{Target: target, Content: content, Label: describe(c.request)}, crashed)
	deps.Logger.Info("Upstream crashed while it ran a call", "call", c.id, "content", content.String(),
		"upstream", endpoint.Member.ID, "process", result.crash.process, "ranFor", result.crash.ranFor,
		"crashes", len(record.Crashes), "trips", record.Trips)
	if !changed {
		return
	}
	if record.Blocked(now) {
		deps.Logger.Info("Blocked call that crashes upstreams", "call", c.id, "content", content.String(), "label", record.Label,
			"wait", record.BlockedUntil().Sub(now))
	}
	deps.CrashesChanged()
}

func (c *ingressCall) reportAnswer(endpoint *routing.Endpoint) {
	deps := c.ingress.deps
	if deps.Crashes.Empty() || !deps.Crashes.Suspects(targetOf(c.request, deps.SourceService)) {
		return
	}
	_, content, known := c.content()
	if !known || !deps.Crashes.RecordAnswer(deps.Now(), content, runnerOf(endpoint)) {
		return
	}
	deps.Logger.Info("Cleared call that was running at crashes", "call", c.id, "content", content.String(),
		"service", endpoint.Member.Service, "version", endpoint.Member.Version)
	deps.CrashesChanged()
}
