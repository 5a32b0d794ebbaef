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

// ingressCall is the state of one call at its ingress.
type ingressCall struct {
	ingress *Ingress
	writer  http.ResponseWriter
	request *http.Request
	target  *routing.Target
	service config.Service
	id      string
	// receivedAt is when the ingress received the call.
	receivedAt time.Time
	deadline   time.Time
	// depth is the number of services that the call has passed through.
	depth int
	body  *replayBody
	// versions are the versions that may take the call: the first set, and the
	// second when no upstream of the first takes calls.
	versions [2]config.VersionSet
	// tried holds the endpoints of earlier attempts.
	tried []*routing.Endpoint
	// waited is the estimate of how long the caller had waited in earlier,
	// refused attempts when the call arrived.
	waited time.Duration
	// callerRemaining is how long the caller still waited when the call arrived.
	callerRemaining time.Duration
	// sentCount is the number of upstreams that the call was sent to.
	sentCount uint32
	// retryAfter is the shortest RetryAfter of the owners that refused the call;
	// 0 if none gave one.
	retryAfter time.Duration
	// workspace is that of the call's key; zero for a call without one.
	workspace workspaceRef
	// hasWorkspaces is set if the configuration has workspaces, so that the key
	// and the workspace header are removed from the caller's request.
	hasWorkspaces bool
	// isTrial is set while the current attempt is a trial of a call that has
	// crashed upstreams.
	isTrial bool
	// sentElsewhere is set once an owner refused the call with ReasonElsewhere.
	sentElsewhere bool
}

// serve tries upstreams until the outcome is Answered, the call may not be
// retried, or no upstream is left to try. It returns the call's result.
func (c *ingressCall) serve(ctx context.Context) Result {
	lastResult := Result{Outcome: NotRun, Reason: ReasonNoUpstream}
	for attempt := 1; attempt <= c.maxAttempts(); attempt++ {
		endpoint, ok := c.chooseEndpoint()
		if !ok {
			break
		}
		if blocked := c.checkCrashes(ctx, endpoint); blocked.Outcome != Answered {
			lastResult = combineResults(lastResult, blocked)
			break
		}
		began := c.ingress.deps.Now()
		result := c.tryEndpoint(ctx, endpoint, attempt)
		c.reportCrashes(endpoint, result)
		c.logAttempt(endpoint, attempt, result, c.ingress.deps.Now().Sub(began))
		if result.Outcome == Answered {
			c.recordResult(result)
			return result
		}
		c.recordAttempt(result)
		lastResult = combineResults(lastResult, result)
		c.recordTried(endpoint, result)
		if !c.mayRetry(ctx, result) {
			break
		}
	}
	if lastResult.Outcome == NotRun && lastResult.Reason != ReasonCrashesUpstreams {
		lastResult.RetryAfter = retryAfterHint(c.retryAfter, c.callerRemaining-c.ingress.deps.Now().Sub(c.receivedAt), rand.Float64())
	}
	c.ingress.deps.Logger.Info("Gave up call", "call", c.id, "route", c.target.Route.Name, "versions", c.versions[0].String(),
		"tried", len(c.tried), "sent", c.sentCount, "outcome", lastResult.Outcome.String(), "reason", lastResult.Reason, "retryAfter", lastResult.RetryAfter)
	c.recordResult(lastResult)
	lastResult.write(c.writer, c.ingress.deps.Dialect)
	return lastResult
}

// recordResult counts the call's final result and latency.
func (c *ingressCall) recordResult(result Result) {
	m := c.ingress.deps.Metrics
	m.count(result)
	if result.Outcome == NotRun {
		c.ingress.giveBack(c.workspace)
	}
	m.latency.record(c.target.Route.Name, result.Outcome, c.ingress.deps.Now().Sub(c.receivedAt))
}

const (
	// _minRetryAfter is the least retry delay for a refused call, before
	// _maxRetryAfterShare and _retryAfterJitter shorten it: the cause of a refusal
	// takes some time to pass.
	_minRetryAfter = 250 * time.Millisecond
	// _maxRetryAfterShare bounds the retry delay to a share of the caller's
	// remaining time, so that time is left for the call itself.
	_maxRetryAfterShare = 1.0 / 3
	// _retryAfterJitter is the share by which a retry delay is shortened at most,
	// at random, so that callers refused together don't retry together.
	_retryAfterJitter = 0.3
)

// retryAfterHint returns the delay after which a caller is told to retry: the
// owner's estimate of when it has room, if known, but soon enough to leave time
// for the call. random is a random number between 0 and 1.
func retryAfterHint(ownerDelay, remaining time.Duration, random float64) time.Duration {
	after := min(max(ownerDelay, _minRetryAfter), time.Duration(_maxRetryAfterShare*float64(remaining)))
	return max(time.Millisecond, time.Duration(float64(after)*(1-_retryAfterJitter*random)))
}

// recordAttempt updates the call with the result of an attempt.
func (c *ingressCall) recordAttempt(result Result) {
	if result.reachedUpstream() {
		c.sentCount++
	}
	if result.RetryAfter > 0 && (c.retryAfter == 0 || result.RetryAfter < c.retryAfter) {
		c.retryAfter = result.RetryAfter
	}
}

// combineResults returns the result of two consecutive attempts together: if
// one of them has an unknown outcome, so has the call.
func combineResults(earlier, later Result) Result {
	if earlier.Outcome == Unknown && later.Outcome == NotRun {
		return earlier
	}
	return later
}

// chooseEndpoint returns the upstream for the next attempt; false if none takes
// the call.
func (c *ingressCall) chooseEndpoint() (*routing.Endpoint, bool) {
	now := c.ingress.deps.Now()
	for i, versions := range c.versions {
		if i > 0 && versions == c.versions[0] {
			break
		}
		q := routing.Query{Service: c.service.Name, Versions: versions, Route: c.target.Route.Name, Objective: c.target.Route.Objective, Tried: c.tried}
		if endpoint, ok := c.ingress.deps.Endpoints.Choose(now, q); ok {
			return endpoint, true
		}
	}
	return nil, false
}

// idempotent reports whether the call may run more than once.
func (c *ingressCall) idempotent() bool {
	return isIdempotent(c.target.Route, c.request.Method)
}

// isIdempotent reports whether calls of the route with the method may run more
// than once.
func isIdempotent(route *config.Route, method string) bool {
	return route.Idempotent || route.Class == config.ClassLookup && isSafeMethod(method)
}

// mayRetry reports whether another upstream may be tried after the given
// result. Sending a call to a further upstream uses the retry budget; retrying
// one that no upstream has received doesn't.
func (c *ingressCall) mayRetry(ctx context.Context, result Result) bool {
	if ctx.Err() != nil || !c.body.replayable() || result.Reason == ReasonCrashesUpstreams || result.Reason == ReasonKeyWithdrawn {
		return false
	}
	if result.Reason == ReasonElsewhere {
		// It has cost no upstream anything.
		return len(c.tried) < _maxRefusals
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

// tryEndpoint sends the call to one upstream. If the outcome is Answered, the
// response was written to the caller.
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
	c.writeResponse(endpoint, response)
	return result
}

// sendToOwner sends the call to the upstream's owner, on this or another node.
// If the outcome is Answered, the response's body must be closed.
func (c *ingressCall) sendToOwner(ctx context.Context, endpoint *routing.Endpoint, attempt int, body *attemptBody) (*http.Response, Result) {
	deps := c.ingress.deps
	forwarded := c.newForwardedCall(endpoint, attempt)
	out := newOutgoingRequest(ctx, c.request, endpoint.Address, body, deps.Dialect)
	if c.hasWorkspaces {
		deps.Dialect.RemoveKey(out.Header)
		deps.Dialect.SetWorkspace(out.Header, "")
	}
	out.Header[HeaderDepth] = []string{strconv.Itoa(c.depth + 1)}
	c.setAssumedTime(out.Header, endpoint)
	remaining := c.deadline.Sub(deps.Now())
	if deps.LocalOwner != nil && endpoint.Instance == deps.Self().Instance() {
		response, result := deps.LocalOwner.handle(ctx, out, c.body, forwarded, remaining)
		c.updateEndpoint(endpoint, response, result)
		return response, result
	}
	endForward, ok := c.ingress.beginForward()
	if !ok {
		// Says nothing about the endpoint.
		return nil, Result{Outcome: NotRun, Reason: ReasonTooManyForwarded}
	}
	response, result := c.forward(ctx, out, endpoint, forwarded, remaining)
	if result.Outcome != Answered || isHeld(response) {
		endForward()
	} else {
		response.Body = &slotReleasingBody{ReadCloser: response.Body, release: func(bool) { endForward() }}
	}
	return response, result
}

// forward sends the call to the node that owns the endpoint's upstream. If the
// outcome is Answered, the response's body must be closed.
func (c *ingressCall) forward(
	ctx context.Context, out *http.Request, endpoint *routing.Endpoint, forwarded forwardedCall, remaining time.Duration,
) (*http.Response, Result) {
	deps := c.ingress.deps
	var tracker writeTracker
	out = out.WithContext(tracker.withTrace(ctx))
	out.Header[headerCall] = []string{forwarded.String()}
	out.Header[HeaderRemaining] = []string{formatMillis(remaining)}
	if out.ContentLength > _maxReplayBytes {
		// The kernel closes the connection if the owner leaves sent bytes unread for
		// some seconds, as it does while the call waits for a slot.
		out.Header["Expect"] = []string{"100-continue"}
	}
	response, err := deps.Transport.RoundTrip(out)
	if err == nil {
		err = tracker.checkStatus(response)
	}
	if err != nil {
		return nil, c.recordForwardFailure(ctx, endpoint, &tracker)
	}
	result, isRefused := parseRefusal(response)
	if isRefused {
		_ = response.Body.Close()
	} else if err := bufferResponse(response, deps.Buffers); err != nil {
		return nil, c.recordForwardFailure(ctx, endpoint, &tracker)
	}
	c.updateEndpoint(endpoint, response, result)
	return response, result
}

// recordForwardFailure records that another node gave no complete response, and
// returns the result of the attempt.
func (c *ingressCall) recordForwardFailure(ctx context.Context, endpoint *routing.Endpoint, tracker *writeTracker) Result {
	result := classifyFailure(ctx, tracker)
	now := c.ingress.deps.Now()
	switch result.Reason {
	case ReasonCanceled:
	case ReasonUnreachable:
		endpoint.RecordConnectFailure(now)
	default:
		endpoint.RecordFailure(now)
	}
	return result
}

// newForwardedCall returns what the owner is told about the call.
func (c *ingressCall) newForwardedCall(endpoint *routing.Endpoint, attempt int) forwardedCall {
	route := c.target.Route
	usefulFor := c.deadline.Sub(c.receivedAt)
	if route.Objective != _noObjective {
		usefulFor = route.Objective - c.elapsedBefore(endpoint)
	}
	return forwardedCall{
		id:            c.id,
		attempt:       attempt,
		owner:         endpoint.Instance,
		route:         route.Name,
		class:         route.Class,
		caller:        c.callerKey(),
		sourceService: c.ingress.deps.SourceService,
		idempotent:    c.idempotent(),
		rank:          rankOf(route),
		workspace:     c.workspace,
		usefulFor:     usefulFor - c.ingress.deps.Now().Sub(c.receivedAt),
	}
}

// elapsedBefore returns how long the caller is taken to have waited before this
// attempt of its own.
func (c *ingressCall) elapsedBefore(endpoint *routing.Endpoint) time.Duration {
	if c.hasWorkspaces || endpoint.ReportsLoad(c.ingress.deps.Now()) {
		return c.target.EstimateRetryElapsed(c.callerRemaining)
	}
	return c.waited
}

// writeResponse writes an upstream's response to the caller.
func (c *ingressCall) writeResponse(endpoint *routing.Endpoint, response *http.Response) {
	deadline := c.receivedAt.Add(c.callerRemaining)
	defer setWriteDeadline(c.writer, c.request, response, deadline)()
	if err := copyResponse(c.writer, response, deadline.Add(_drainTimeout)); err != nil {
		c.ingress.deps.Metrics.count(Result{Outcome: Unknown, Reason: ReasonConnectionBroken})
		c.ingress.deps.Metrics.aborted.Add(1)
		c.ingress.deps.Logger.Info("Aborted response", "call", c.id, "route", c.target.Route.Name, "upstream", endpoint.Member.ID,
			"status", response.StatusCode, "length", response.ContentLength, "left", c.deadline.Sub(c.ingress.deps.Now()), "cause", err.Error())
		// Aborting the connection shows the caller that the response is
		// incomplete. Returning would make it look complete but shorter.
		resetCloseDelimited(c.request)
		panic(http.ErrAbortHandler)
	}
}

// rankOf returns a route's priority; 0 is the highest. Among routes that state
// neither a rank nor an objective, commands come before lookups.
func rankOf(route *config.Route) uint32 {
	if route.Rank == 0 && route.Objective == _noObjective && route.Class == config.ClassLookup {
		return 1
	}
	return route.Rank
}

// callerKey returns the key by which slots are shared fairly among calls, or
// _emptyField where they aren't.
func (c *ingressCall) callerKey() string {
	if !c.ingress.deps.ShareSlotsFairly {
		return _emptyField
	}
	return callerAddress(c.request)
}

// callerAddress returns the IP address that a request came from.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// logAttempt logs the result of one attempt.
func (c *ingressCall) logAttempt(endpoint *routing.Endpoint, attempt int, result Result, took time.Duration) {
	logger := c.ingress.deps.Logger
	if result.Outcome == Answered && attempt == 1 {
		// Under load, the log drops the lines of calls that went well.
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
