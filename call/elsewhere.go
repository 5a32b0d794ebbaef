package call

import (
	"net/http"
	"time"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/routing"
)

// _elsewhereMargin is by how much the wait at an upstream must exceed what the
// ingress assumed for its owner to send a call elsewhere. With 40 ms a tenth of
// the calls are sent elsewhere at half load; 5 ms sends four times as many and
// gains less than 0.002 of the calls in time.
const _elsewhereMargin = 40 * time.Millisecond

// isBetterElsewhere reports whether a call would wait for much longer at an
// upstream of the given load than its ingress assumed.
func isBetterElsewhere(load admission.Load, assumed time.Duration) bool {
	excess := load.Running + load.Waiting + 1 - load.Limit
	if load.Limit <= 0 || excess <= 0 {
		return false
	}
	wait := time.Duration(float64(excess) / float64(load.Limit) * float64(load.AverageDuration))
	return wait > assumed+_elsewhereMargin
}

// checkElsewhere refuses a call if its ingress knew too little of the upstream's
// load and may choose again. Otherwise it returns Answered.
func (c *ownerCall) checkElsewhere() Result {
	text := c.request.Header.Get(headerAssumedWait)
	if text == "" {
		return Result{Outcome: Answered}
	}
	assumed, err := ParseMillis(text)
	if err != nil || !isBetterElsewhere(c.owner.deps.Gate.Load(), assumed) {
		return Result{Outcome: Answered}
	}
	return c.owner.notRun(ReasonElsewhere)
}

// setAssumedWait tells the owner how long the ingress expects the call to wait,
// where upstreams report their load. An owner that was told may send the call
// elsewhere, once for each call.
func (c *ingressCall) setAssumedWait(h http.Header, endpoint *routing.Endpoint) {
	if c.sentElsewhere || !c.body.replayable() {
		return
	}
	if wait, ok := endpoint.ExpectedWait(c.ingress.deps.Now(), c.target.Route.Name); ok {
		h[headerAssumedWait] = []string{formatMillis(wait)}
	}
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
