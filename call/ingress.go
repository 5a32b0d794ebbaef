package call

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/routing"
)

const (
	// _maxAttempts is how many upstreams a call is sent to at most where its
	// route does not say.
	_maxAttempts = 3
	// _maxRefusals is how many owners may refuse a call before it is given up.
	_maxRefusals = 2
	// _noObjective is the objective of a route that states none: an answer is
	// of use until the deadline.
	_noObjective = time.Duration(0)
)

// Routes gives the ingress the routes in force.
type Routes interface {
	// Table returns nil while the node has no configuration.
	Table() *routing.Table
	// Versions returns which versions of the service the route's next call may
	// go to, and which ones when the first have no upstream.
	Versions(t *routing.Target, s config.Service) (first, second config.VersionSet)
}

// Endpoints gives the ingress the upstreams to choose from.
type Endpoints interface {
	Choose(now time.Time, q routing.Query) (*routing.Endpoint, bool)
}

// IngressDependencies are what an Ingress is built from.
type IngressDependencies struct {
	Routes    Routes
	Endpoints Endpoints
	// Transport carries calls to other nodes; see NewForwardTransport.
	Transport http.RoundTripper
	// Local is the owner on this node, and Self its record; calls to it take
	// no hop. Local is nil on a node without an upstream.
	Local *Owner
	Self  func() membership.Member
	// Origin is the service on this VM, where its calls begin.
	Origin  config.ServiceName
	Dialect Dialect
	Budgets *retry.Budgets[config.ServiceName]
	// Nodes returns how many nodes share the budgets.
	Nodes func() int
	// FairCallers shares the slots of an upstream between the addresses that
	// calls come from.
	FairCallers bool
	Metrics     *Metrics
	Logger      klog.Logger
	Now         func() time.Time
}

// Ingress takes calls from callers and sends each to the node that owns the
// chosen upstream.
type Ingress struct {
	d IngressDependencies
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
	// closing is set once callers are to take their connections elsewhere.
	closing atomic.Bool
	// ended is set once no further call is taken.
	ended atomic.Bool
}

var _ http.Handler = (*Ingress)(nil)

// NewIngress returns an ingress.
func NewIngress(d IngressDependencies) *Ingress {
	return &Ingress{d: d}
}

// CloseConnections makes each connection end after its next answer.
func (i *Ingress) CloseConnections() {
	i.closing.Store(true)
}

// End refuses all further calls as not run. Those that were taken go on.
func (i *Ingress) End() {
	i.ended.Store(true)
}

// Wait returns when all calls have ended.
func (i *Ingress) Wait() {
	i.inFlight.Wait()
}

// ServeHTTP carries one call from a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.closing.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	if i.ended.Load() {
		i.refuse(w, r, Reason(admission.ReasonDraining))
		return
	}
	i.inFlight.Add(1)
	defer i.inFlight.Done()
	now := i.d.Now()
	a, reason := i.accept(r)
	if reason != "" {
		i.refuse(w, r, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(a.left))
	defer cancel()
	c := i.newCall(now, w, r, a)
	limitReading(w, r, c.deadline)
	if streamsIn(r) {
		allowEarlyAnswer(w)
		defer drain(w, r)
	}
	i.d.Budgets.For(c.service.Name).Called(now)
	c.carry(ctx)
}

func (i *Ingress) newCall(now time.Time, w http.ResponseWriter, r *http.Request, a accepted) *ingressCall {
	service := a.target.NextService()
	id := i.d.Dialect.CallID(r.Header)
	if id == "" || strings.ContainsAny(id, " \t") {
		id = newID()
	}
	first, second := i.d.Routes.Versions(a.target, service)
	return &ingressCall{
		ingress:  i,
		writer:   w,
		request:  r,
		target:   a.target,
		service:  service,
		id:       id,
		began:    now,
		deadline: now.Add(a.left),
		depth:    a.depth,
		body:     newReplayBody(r.Body),
		versions: [2]config.VersionSet{first, second},
		used:     a.used,
		left:     a.callerLeft,
	}
}

// accepted is a call that may go on.
type accepted struct {
	target *routing.Target
	// left is the time left for the call.
	left time.Duration
	// callerLeft is how long the caller waits, used how long it has waited in
	// earlier attempts.
	callerLeft time.Duration
	used       time.Duration
	// depth is how many services the call has passed through.
	depth int
}

// accept checks a call. The reason is empty when it may go on.
func (i *Ingress) accept(r *http.Request) (accepted, Reason) {
	table := i.d.Routes.Table()
	if table == nil {
		return accepted{}, ReasonNoConfig
	}
	if isUpgrade(r) {
		return accepted{}, ReasonUpgrade
	}
	target, ok := table.Match(r.Host, r.URL.Path)
	if !ok {
		return accepted{}, ReasonNoRoute
	}
	left, stated, err := i.d.Dialect.Remaining(r.Header)
	if err != nil {
		return accepted{}, ReasonBadRequest
	}
	if !stated {
		left = target.Route.Timeout
	}
	callerLeft := left
	used := target.Used(callerLeft)
	left = min(left, target.Route.Timeout)
	if left <= 0 {
		return accepted{}, ReasonDeadline
	}
	n, err := depth(r.Header)
	if err != nil {
		return accepted{}, ReasonBadRequest
	}
	if n >= MaxDepth {
		return accepted{}, ReasonTooDeep
	}
	return accepted{target: target, left: left, callerLeft: callerLeft, used: used, depth: n}, ""
}

func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, reason Reason) {
	v := Verdict{Outcome: NotRun, Reason: reason}
	i.d.Metrics.count(v)
	i.d.Logger.Info("Refused call", "call", i.d.Dialect.CallID(r.Header), "host", r.Host, "path", r.URL.Path, "reason", reason)
	v.write(w, i.d.Dialect)
}

func newID() string {
	var id [16]byte
	for n := range 2 {
		word := rand.Uint64()
		for k := range 8 {
			id[8*n+k] = byte(word >> (8 * k))
		}
	}
	return hex.EncodeToString(id[:])
}

// ingressCall is one call on its way.
type ingressCall struct {
	ingress *Ingress
	writer  http.ResponseWriter
	request *http.Request
	target  *routing.Target
	service config.Service
	id      string
	// began is when the call was read.
	began    time.Time
	deadline time.Time
	depth    int
	body     *replayBody
	// versions may take the call: the first, and the second when the first
	// have no upstream.
	versions [2]config.VersionSet
	tried    []*routing.Endpoint
	// used is how long the caller had waited when the call came, in earlier
	// attempts that were refused.
	used time.Duration
	// left is how long the caller still waited when the call came.
	left time.Duration
	// sent counts the upstreams that the call was sent to.
	sent uint32
	// retryAfter is the soonest that an owner which refused the call gave.
	retryAfter time.Duration
}

// carry tries upstreams until the call is answered, may not be sent again, or
// nothing is left to try.
func (c *ingressCall) carry(ctx context.Context) {
	last := Verdict{Outcome: NotRun, Reason: ReasonNoUpstream}
	for attempt := 1; attempt <= _maxAttempts+_maxRefusals; attempt++ {
		endpoint, ok := c.choose()
		if !ok {
			break
		}
		began := c.ingress.d.Now()
		verdict := c.try(ctx, endpoint, attempt)
		c.log(endpoint, attempt, verdict, c.ingress.d.Now().Sub(began))
		if verdict.Outcome == Answered {
			c.ended(verdict)
			return
		}
		c.note(verdict)
		last = worse(last, verdict)
		c.tried = append(c.tried, endpoint)
		if !c.mayRetry(ctx, verdict) {
			break
		}
	}
	if last.Outcome == NotRun {
		last.RetryAfter = retryAfter(c.retryAfter, c.left-c.ingress.d.Now().Sub(c.began), rand.Float64())
	}
	c.ingress.d.Logger.Info("Gave up call", "call", c.id, "route", c.target.Route.Name, "versions", c.versions[0].String(),
		"tried", len(c.tried), "sent", c.sent, "outcome", last.Outcome.String(), "reason", last.Reason, "retryAfter", last.RetryAfter)
	c.ended(last)
	last.write(c.writer, c.ingress.d.Dialect)
}

func (c *ingressCall) ended(v Verdict) {
	m := c.ingress.d.Metrics
	m.count(v)
	m.latency.add(c.target.Route.Name, v.Outcome, c.ingress.d.Now().Sub(c.began))
}

const (
	// _soonestReturn is the least time after which a refused call is worth
	// sending again: what refused it does not pass at once.
	_soonestReturn = 250 * time.Millisecond
	// _returnPart is the part of the time that the caller has left which it is
	// told to wait at most, so that time is left for the call itself.
	_returnPart = 1.0 / 3
	// _returnSpread is the part by which callers refused together are told
	// different times, so that they do not come back together.
	_returnSpread = 0.3
)

// retryAfter returns when a caller is told to come back: when there is room,
// as far as that is known, and soon enough to be served then. The point is
// random in the unit interval.
func retryAfter(room, left time.Duration, point float64) time.Duration {
	after := min(max(room, _soonestReturn), time.Duration(_returnPart*float64(left)))
	return max(time.Millisecond, time.Duration(float64(after)*(1-_returnSpread*point)))
}

// note takes in how a try ended.
func (c *ingressCall) note(v Verdict) {
	if v.reachedUpstream() {
		c.sent++
	}
	if v.RetryAfter > 0 && (c.retryAfter == 0 || v.RetryAfter < c.retryAfter) {
		c.retryAfter = v.RetryAfter
	}
}

// worse returns the verdict that is true of both tries together: a call of
// which one try is unknown is unknown.
func worse(before, now Verdict) Verdict {
	if before.Outcome == Unknown && now.Outcome == NotRun {
		return before
	}
	return now
}

// choose returns the upstream for the next try.
func (c *ingressCall) choose() (*routing.Endpoint, bool) {
	now := c.ingress.d.Now()
	for i, versions := range c.versions {
		if i > 0 && versions == c.versions[0] {
			break
		}
		q := routing.Query{Service: c.service.Name, Versions: versions, Objective: c.target.Route.Objective, Tried: c.tried}
		if endpoint, ok := c.ingress.d.Endpoints.Choose(now, q); ok {
			return endpoint, true
		}
	}
	return nil, false
}

// repeatable reports whether the call may be run more than once.
func (c *ingressCall) repeatable() bool {
	route := c.target.Route
	return route.Idempotent || route.Class == config.ClassLookup && repeatable(c.request.Method)
}

// mayRetry reports whether another upstream may be tried. Sending a call once
// more to an upstream takes from the budget; a try that reached none is free.
func (c *ingressCall) mayRetry(ctx context.Context, v Verdict) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if v.Outcome == Unknown && (!c.repeatable() || v.Reason == ReasonDeadline || v.Reason == ReasonUnbounded) {
		return false
	}
	most := c.target.Route.Attempts
	if most == 0 {
		most = _maxAttempts
	}
	if c.sent >= most {
		return false
	}
	if c.sent == 0 {
		return len(c.tried) < _maxRefusals
	}
	now := c.ingress.d.Now()
	if !c.ingress.d.Budgets.For(c.service.Name).Take(now, c.ingress.d.Nodes()) {
		c.ingress.d.Logger.Info("Retry budget is spent", "call", c.id, "service", c.service.Name)
		return false
	}
	c.ingress.d.Metrics.retries.Add(1)
	return true
}

// try sends the call to one upstream. When the verdict is Answered, the
// answer was passed on.
func (c *ingressCall) try(ctx context.Context, endpoint *routing.Endpoint, attempt int) Verdict {
	endpoint.Begin()
	defer endpoint.End()
	body := c.body.attempt()
	defer func() { _ = body.Close() }()
	response, verdict := c.send(ctx, endpoint, attempt, body)
	if verdict.Outcome != Answered {
		return verdict
	}
	defer func() { _ = response.Body.Close() }()
	c.answer(response)
	return verdict
}

// send takes the call to the upstream's owner, here or on another node.
func (c *ingressCall) send(ctx context.Context, endpoint *routing.Endpoint, attempt int, body *attemptBody) (*http.Response, Verdict) {
	d := c.ingress.d
	call := c.describe(endpoint, attempt)
	out := outgoing(ctx, c.request, endpoint.Address, body, d.Dialect)
	out.Header[HeaderDepth] = []string{strconv.Itoa(c.depth + 1)}
	left := c.deadline.Sub(d.Now())
	if d.Local != nil && endpoint.Owner == d.Self().Instance() {
		response, verdict := d.Local.carry(ctx, out, call, left)
		c.learn(endpoint, response, verdict)
		return response, verdict
	}
	var track tracker
	out = out.WithContext(track.context(ctx))
	out.Header[headerCall] = []string{call.String()}
	out.Header[HeaderRemaining] = []string{formatMillis(left)}
	response, err := d.Transport.RoundTrip(out)
	if err != nil {
		verdict := failure(ctx, &track)
		switch verdict.Reason {
		case ReasonCanceled:
		case ReasonUnreachable:
			endpoint.Unreached(d.Now())
		default:
			endpoint.FailedCall(d.Now())
		}
		return nil, verdict
	}
	verdict, isRefused := refused(response)
	c.learn(endpoint, response, verdict)
	if isRefused {
		_ = response.Body.Close()
	}
	return response, verdict
}

// describe returns what the owner is told of the call.
func (c *ingressCall) describe(endpoint *routing.Endpoint, attempt int) forwarded {
	route := c.target.Route
	useful := c.deadline.Sub(c.began)
	if route.Objective != _noObjective {
		useful = route.Objective - c.used
	}
	return forwarded{
		id:         c.id,
		attempt:    attempt,
		owner:      endpoint.Owner,
		route:      route.Name,
		class:      route.Class,
		caller:     c.caller(),
		origin:     c.ingress.d.Origin,
		repeatable: c.repeatable(),
		rank:       rankOf(route),
		useful:     useful - c.ingress.d.Now().Sub(c.began),
	}
}

// failure returns the verdict on a try that got no answer.
func failure(ctx context.Context, track *tracker) Verdict {
	switch {
	case track.nothingSent() && ctx.Err() != nil:
		return Verdict{Outcome: NotRun, Reason: ReasonDeadline}
	case track.nothingSent():
		return Verdict{Outcome: NotRun, Reason: ReasonUnreachable}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Verdict{Outcome: Unknown, Reason: ReasonDeadline}
	case ctx.Err() != nil:
		return Verdict{Outcome: Unknown, Reason: ReasonCanceled}
	default:
		return Verdict{Outcome: Unknown, Reason: ReasonBroken}
	}
}

// refused returns the verdict that an owner gave in place of an answer. It
// returns false, and Answered, for an answer.
func refused(response *http.Response) (Verdict, bool) {
	v := Verdict{Outcome: Answered}
	switch response.Header.Get(HeaderOutcome) {
	case NotRun.String():
		v.Outcome = NotRun
	case Unknown.String():
		v.Outcome = Unknown
	default:
		return v, false
	}
	v.Reason = Reason(response.Header.Get(HeaderReason))
	if text := response.Header.Get(headerRetryMillis); text != "" {
		if after, err := ParseMillis(text); err == nil {
			v.RetryAfter = after
		}
	}
	return v, true
}

// learn takes in what an answer or a verdict says of the upstream.
func (c *ingressCall) learn(endpoint *routing.Endpoint, response *http.Response, verdict Verdict) {
	now := c.ingress.d.Now()
	if response != nil {
		if load, ok := parseLoad(response.Header.Get(headerLoad)); ok {
			endpoint.Loaded(now, load)
		}
	}
	switch {
	case verdict.Outcome == Answered && response.StatusCode < http.StatusInternalServerError:
		endpoint.Succeeded()
	case verdict.Outcome == NotRun && (verdict.Reason == Reason(admission.ReasonTooLate) || verdict.Reason == Reason(admission.ReasonQueueFull)),
		verdict.Reason == ReasonCanceled, verdict.Reason == Reason(admission.ReasonAbandoned):
	case verdict.Outcome == NotRun && verdict.Reason != ReasonUpstreamRefused:
		// The owner has no upstream to give the call to.
		endpoint.Unreached(now)
	default:
		endpoint.FailedCall(now)
	}
}

// parseLoad reads what Owner.load wrote.
func parseLoad(text string) (routing.Load, bool) {
	const fields = 3
	parts := strings.Split(text, " ")
	if len(parts) != fields {
		return routing.Load{}, false
	}
	calls, err := strconv.Atoi(parts[0])
	if err != nil || calls < 0 {
		return routing.Load{}, false
	}
	slots, err := strconv.Atoi(parts[1])
	if err != nil || slots < 0 {
		return routing.Load{}, false
	}
	work, err := ParseMillis(parts[2])
	return routing.Load{Calls: calls, Slots: slots, Work: work}, err == nil
}

func (c *ingressCall) answer(response *http.Response) {
	if err := copyAnswer(c.writer, response); err != nil {
		c.ingress.d.Metrics.count(Verdict{Outcome: Unknown, Reason: ReasonBroken})
		c.ingress.d.Logger.Info("Broke off answer", "call", c.id, "cause", err)
		// The caller must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
}

// rankOf returns a route's urgency. Among routes that state none, commands are
// more urgent than lookups.
func rankOf(route config.Route) uint32 {
	if route.Rank == 0 && route.Objective == _noObjective && route.Class == config.ClassLookup {
		return 1
	}
	return route.Rank
}

// caller returns what the calls are grouped by between which slots are shared.
func (c *ingressCall) caller() string {
	if !c.ingress.d.FairCallers {
		return _none
	}
	return callerOf(c.request)
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (c *ingressCall) log(endpoint *routing.Endpoint, attempt int, v Verdict, took time.Duration) {
	logger := c.ingress.d.Logger
	if v.Outcome == Answered && attempt == 1 {
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
		"load", endpoint.Reported(c.ingress.d.Now()),
		"attempt", attempt,
		"outcome", v.Outcome.String(),
		"reason", v.Reason,
		"left", c.deadline.Sub(c.ingress.d.Now()),
		"took", took,
	)
}
