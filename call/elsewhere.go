package call

import (
	"net/http"
	"time"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/upstream"
)

// _elsewhereMargin is by how much the time that a call takes at an upstream must
// exceed what the ingress assumed for its owner to send it elsewhere. With 40, 50
// and 70 ms, owners send 0.20, 0.16 and 0.10 of the calls elsewhere at usual load,
// and at 1.5 times that 0.961, 0.961 and 0.957 are in time.
const _elsewhereMargin = 50 * time.Millisecond

// isBetterElsewhere reports whether a call that would run for the given time at
// an upstream of the given load would take much longer there, with its wait, than
// its ingress assumed.
func isBetterElsewhere(load admission.Load, run, assumed time.Duration) bool {
	expected := run
	if excess := load.Running + load.Waiting + 1 - load.Limit; load.Limit > 0 && excess > 0 {
		expected += time.Duration(float64(excess) / float64(load.Limit) * float64(load.AverageDuration))
	}
	return expected > assumed+_elsewhereMargin
}

// expectedRun returns how long a call of the route would run at the upstream if
// it started now; 0 if unknown.
func expectedRun(now time.Time, tracker *upstream.LoadTracker, route config.RouteName) time.Duration {
	return time.Duration(float64(tracker.Work(route)) * tracker.Slowness(now))
}

// checkElsewhere refuses a call if its ingress knew too little of the upstream's
// load and may choose again. Otherwise it returns Answered.
func (c *ownerCall) checkElsewhere() Result {
	text := c.request.Header.Get(headerAssumedTime)
	if text == "" {
		return Result{Outcome: Answered}
	}
	o := c.owner
	assumed, err := ParseMillis(text)
	if err != nil || !isBetterElsewhere(o.deps.Gate.Load(), expectedRun(o.deps.Now(), o.deps.Load, c.forwarded.route), assumed) {
		return Result{Outcome: Answered}
	}
	return o.notRun(ReasonElsewhere)
}

// setAssumedTime tells the owner how long the ingress expects the call to take,
// where upstreams report their load. An owner that was told may send the call
// elsewhere, once for each call.
func (c *ingressCall) setAssumedTime(h http.Header, endpoint *routing.Endpoint) {
	if c.sentElsewhere || !c.body.replayable() {
		return
	}
	if expected, ok := endpoint.ExpectedTime(c.ingress.deps.Now(), c.target.Route.Name); ok {
		h[headerAssumedTime] = []string{formatMillis(expected)}
	}
}

// maxAttempts bounds the upstreams that are asked, also for a call that doesn't
// reach any. One that was sent elsewhere may be tried once more.
func (c *ingressCall) maxAttempts() int {
	if c.sentElsewhere {
		return config.MaxAttempts + 1
	}
	return config.MaxAttempts
}

// recordTried records the result of an attempt for the choice of the next
// upstream. One that sent the call elsewhere may still be the best: its load is
// known now.
func (c *ingressCall) recordTried(endpoint *routing.Endpoint, result Result) {
	if result.Reason == ReasonElsewhere && !c.sentElsewhere {
		c.sentElsewhere = true
		return
	}
	c.tried = append(c.tried, endpoint)
}
