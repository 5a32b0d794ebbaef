package call

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
)

// ingressCall is one call on its way.
type ingressCall struct {
	ingress *Ingress
	writer  http.ResponseWriter
	request *http.Request
	target  *routing.Target
	service config.Service
	id      string
	// receivedAt is when the call was read.
	receivedAt time.Time
	deadline   time.Time
	depth      int
	body       *replayBody
	// versions may take the call: the first, and the second when the first
	// have no upstream.
	versions [2]config.VersionSet
	tried    []*routing.Endpoint
	// used is how long the caller had waited when the call came, in earlier
	// attempts that were refused.
	waited time.Duration
	// left is how long the caller still waited when the call came.
	remaining time.Duration
	// sentCount counts the upstreams that the call was sentCount to.
	sentCount uint32
	// retryAfter is the soonest that an owner which refused the call gave.
	retryAfter time.Duration
}

// serve tries upstreams until the call is answered, may not be sent again, or
// nothing is left to try.
func (c *ingressCall) serve(ctx context.Context) {
	lastResult := Result{Outcome: NotRun, Reason: ReasonNoUpstream}
	for attempt := 1; attempt <= _defaultMaxAttempts+_maxRefusals; attempt++ {
		endpoint, ok := c.chooseEndpoint()
		if !ok {
			break
		}
		began := c.ingress.deps.Now()
		result := c.tryEndpoint(ctx, endpoint, attempt)
		c.logAttempt(endpoint, attempt, result, c.ingress.deps.Now().Sub(began))
		if result.Outcome == Answered {
			c.recordResult(result)
			return
		}
		c.recordAttempt(result)
		lastResult = combineResults(lastResult, result)
		c.tried = append(c.tried, endpoint)
		if !c.mayRetry(ctx, result) {
			break
		}
	}
	if lastResult.Outcome == NotRun {
		lastResult.RetryAfter = retryAfterHint(c.retryAfter, c.remaining-c.ingress.deps.Now().Sub(c.receivedAt), rand.Float64())
	}
	c.ingress.deps.Logger.Info("Gave up call", "call", c.id, "route", c.target.Route.Name, "versions", c.versions[0].String(),
		"tried", len(c.tried), "sent", c.sentCount, "outcome", lastResult.Outcome.String(), "reason", lastResult.Reason, "retryAfter", lastResult.RetryAfter)
	c.recordResult(lastResult)
	lastResult.write(c.writer, c.ingress.deps.Dialect)
}

func (c *ingressCall) recordResult(result Result) {
	m := c.ingress.deps.Metrics
	m.count(result)
	m.latency.record(c.target.Route.Name, result.Outcome, c.ingress.deps.Now().Sub(c.receivedAt))
}

const (
	// _soonestReturn is the least time after which a refused call is worth
	// sending again: what refused it does not pass at once.
	_minRetryAfter = 250 * time.Millisecond
	// _returnPart is the part of the time that the caller has left which it is
	// told to wait at most, so that time is left for the call itself.
	_maxRetryAfterShare = 1.0 / 3
	// _returnSpread is the part by which callers refused together are told
	// different times, so that they do not come back together.
	_retryAfterJitter = 0.3
)

// retryAfterHint returns when a caller is told to come back: when there is room,
// as far as that is known, and soon enough to be served then. The point is
// random in the unit interval.
func retryAfterHint(ownerDelay, remaining time.Duration, random float64) time.Duration {
	after := min(max(ownerDelay, _minRetryAfter), time.Duration(_maxRetryAfterShare*float64(remaining)))
	return max(time.Millisecond, time.Duration(float64(after)*(1-_retryAfterJitter*random)))
}

// note takes in how a try ended.
func (c *ingressCall) recordAttempt(result Result) {
	if result.reachedUpstream() {
		c.sentCount++
	}
	if result.RetryAfter > 0 && (c.retryAfter == 0 || result.RetryAfter < c.retryAfter) {
		c.retryAfter = result.RetryAfter
	}
}

// combineResults returns the verdict that is true of both tries together: a call of
// which one try is unknown is unknown.
func combineResults(before, now Result) Result {
	if before.Outcome == Unknown && now.Outcome == NotRun {
		return before
	}
	return now
}

// choose returns the upstream for the next try.
func (c *ingressCall) chooseEndpoint() (*routing.Endpoint, bool) {
	now := c.ingress.deps.Now()
	for i, versions := range c.versions {
		if i > 0 && versions == c.versions[0] {
			break
		}
		q := routing.Query{Service: c.service.Name, Versions: versions, Objective: c.target.Route.Objective, Tried: c.tried}
		if endpoint, ok := c.ingress.deps.Endpoints.Choose(now, q); ok {
			return endpoint, true
		}
	}
	return nil, false
}

// repeatable reports whether the call may be run more than once.
func (c *ingressCall) idempotent() bool {
	route := c.target.Route
	return route.Idempotent || route.Class == config.ClassLookup && isSafeMethod(c.request.Method)
}

// mayRetry reports whether another upstream may be tried. Sending a call once
// more to an upstream takes from the budget; a try that reached none is free.
func (c *ingressCall) mayRetry(ctx context.Context, result Result) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if result.Outcome == Unknown && (!c.idempotent() || result.Reason == ReasonDeadline || result.Reason == ReasonCloseDelimited) {
		return false
	}
	maxAttempts := c.target.Route.Attempts
	if maxAttempts == 0 {
		maxAttempts = _defaultMaxAttempts
	}
	if c.sentCount >= maxAttempts {
		return false
	}
	if c.sentCount == 0 {
		return len(c.tried) < _maxRefusals
	}
	now := c.ingress.deps.Now()
	if !c.ingress.deps.Budgets.For(c.service.Name).AllowRetry(now, c.ingress.deps.NodeCount()) {
		c.ingress.deps.Logger.Info("Retry budget is spent", "call", c.id, "service", c.service.Name)
		return false
	}
	c.ingress.deps.Metrics.retries.Add(1)
	return true
}

// try sends the call to one upstream. When the verdict is Answered, the
// answer was passed on.
func (c *ingressCall) tryEndpoint(ctx context.Context, endpoint *routing.Endpoint, attempt int) Result {
	endpoint.Begin()
	defer endpoint.End()
	body := c.body.newAttempt()
	defer func() { _ = body.Close() }()
	response, result := c.sendToOwner(ctx, endpoint, attempt, body)
	if result.Outcome != Answered {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	c.writeResponse(response)
	return result
}

// sendToOwner takes the call to the upstream's owner, here or on another node.
func (c *ingressCall) sendToOwner(ctx context.Context, endpoint *routing.Endpoint, attempt int, body *attemptBody) (*http.Response, Result) {
	d := c.ingress.deps
	forwarded := c.newForwardedCall(endpoint, attempt)
	out := newOutgoingRequest(ctx, c.request, endpoint.Address, body, d.Dialect)
	out.Header[HeaderDepth] = []string{strconv.Itoa(c.depth + 1)}
	remaining := c.deadline.Sub(d.Now())
	if d.LocalOwner != nil && endpoint.Owner == d.Self().Instance() {
		response, result := d.LocalOwner.handle(ctx, out, forwarded, remaining)
		c.updateEndpoint(endpoint, response, result)
		return response, result
	}
	var tracker writeTracker
	out = out.WithContext(tracker.withTrace(ctx))
	out.Header[headerCall] = []string{forwarded.String()}
	out.Header[HeaderRemaining] = []string{formatMillis(remaining)}
	response, err := d.Transport.RoundTrip(out)
	if err != nil {
		result := classifyFailure(ctx, &tracker)
		switch result.Reason {
		case ReasonCanceled:
		case ReasonUnreachable:
			endpoint.RecordConnectFailure(d.Now())
		default:
			endpoint.RecordFailure(d.Now())
		}
		return nil, result
	}
	result, isRefused := parseRefusal(response)
	c.updateEndpoint(endpoint, response, result)
	if isRefused {
		_ = response.Body.Close()
	}
	return response, result
}

// describe returns what the owner is told of the call.
func (c *ingressCall) newForwardedCall(endpoint *routing.Endpoint, attempt int) forwardedCall {
	route := c.target.Route
	usefulFor := c.deadline.Sub(c.receivedAt)
	if route.Objective != _noObjective {
		usefulFor = route.Objective - c.waited
	}
	return forwardedCall{
		id:            c.id,
		attempt:       attempt,
		owner:         endpoint.Owner,
		route:         route.Name,
		class:         route.Class,
		caller:        c.callerKey(),
		sourceService: c.ingress.deps.SourceService,
		idempotent:    c.idempotent(),
		rank:          rankOf(route),
		usefulFor:     usefulFor - c.ingress.deps.Now().Sub(c.receivedAt),
	}
}

func (c *ingressCall) writeResponse(response *http.Response) {
	if err := copyResponse(c.writer, response); err != nil {
		c.ingress.deps.Metrics.count(Result{Outcome: Unknown, Reason: ReasonConnectionBroken})
		c.ingress.deps.Logger.Info("Broke off answer", "call", c.id, "cause", err)
		// The caller must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
}

// rankOf returns a route's urgency. Among routes that state none, commands are
// more urgent than lookups.
func rankOf(route *config.Route) uint32 {
	if route.Rank == 0 && route.Objective == _noObjective && route.Class == config.ClassLookup {
		return 1
	}
	return route.Rank
}

// callerKey returns what the calls are grouped by between which slots are shared.
func (c *ingressCall) callerKey() string {
	if !c.ingress.deps.ShareSlotsFairly {
		return _emptyField
	}
	return callerAddress(c.request)
}

func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (c *ingressCall) logAttempt(endpoint *routing.Endpoint, attempt int, result Result, took time.Duration) {
	logger := c.ingress.deps.Logger
	if result.Outcome == Answered && attempt == 1 {
		// The lines of calls that went as they should are the ones left out
		// under load.
		logger = logger.V(1)
	}
	logger.Info("Routed call",
		"call", c.id,
		"route", c.target.Route.Name,
		"service", c.service.Name,
		"versions", c.versions[0].String(),
		"version", endpoint.Member.Version,
		"upstream", endpoint.Member.ID,
		"load", endpoint.LoadSummary(c.ingress.deps.Now()),
		"attempt", attempt,
		"outcome", result.Outcome.String(),
		"reason", result.Reason,
		"left", c.deadline.Sub(c.ingress.deps.Now()),
		"took", took,
	)
}
