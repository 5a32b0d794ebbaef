package call

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/routing"
)

// _maxAttempts bounds the tries of one call.
const _maxAttempts = 3

// Routes gives the ingress the routes in force.
type Routes interface {
	// Table returns nil while the node has no configuration.
	Table() *routing.Table
	// Excluded returns the version that is quarantined for a service in this
	// zone, empty when none is.
	Excluded(s config.Service) config.VersionName
}

// Endpoints gives the ingress the upstreams to choose from.
type Endpoints interface {
	Choose(now time.Time, service config.ServiceName, version config.VersionName, tried []*routing.Endpoint) (*routing.Endpoint, bool)
}

// IngressDependencies are what an Ingress is built from.
type IngressDependencies struct {
	Routes    Routes
	Endpoints Endpoints
	// Transport carries calls to other nodes; see NewForwardTransport.
	Transport http.RoundTripper
	Budgets   *retry.Budgets[config.ServiceName]
	Metrics   *Metrics
	Logger    klog.Logger
	Now       func() time.Time
}

// Ingress takes calls from callers and sends each to the node that owns the
// chosen upstream.
type Ingress struct {
	d IngressDependencies
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
}

var _ http.Handler = (*Ingress)(nil)

// NewIngress returns an ingress.
func NewIngress(d IngressDependencies) *Ingress {
	return &Ingress{d: d}
}

// Wait returns when all calls have ended.
func (i *Ingress) Wait() {
	i.inFlight.Wait()
}

// ServeHTTP carries one call from a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.inFlight.Add(1)
	defer i.inFlight.Done()
	now := i.d.Now()
	a, reason := i.accept(r)
	if reason != "" {
		i.refuse(w, r, reason)
		return
	}
	target := a.target
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(a.left))
	defer cancel()
	c := &ingressCall{
		ingress:  i,
		writer:   w,
		request:  r,
		target:   target,
		id:       newID(),
		deadline: now.Add(a.left),
		depth:    a.depth,
		body:     newReplayBody(r.Body),
		version:  target.Version(i.d.Routes.Excluded(target.Service)),
	}
	limitReading(w, r, c.deadline)
	if streamsIn(r) {
		allowEarlyAnswer(w)
		defer drain(w, r)
	}
	i.d.Budgets.For(now, target.Service.Name).Called(now)
	c.carry(ctx)
}

// accepted is a call that may go on.
type accepted struct {
	target *routing.Target
	// left is the time left for the call.
	left time.Duration
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
	left, err := remaining(r.Header, target.Route.Timeout)
	if err != nil {
		return accepted{}, ReasonBadRequest
	}
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
	return accepted{target: target, left: left, depth: n}, ""
}

func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, reason Reason) {
	v := Verdict{Outcome: NotRun, Reason: reason}
	i.d.Metrics.count(v)
	i.d.Logger.Info("Refused call", "host", r.Host, "path", r.URL.Path, "reason", reason)
	v.write(w, v.status())
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
	ingress  *Ingress
	writer   http.ResponseWriter
	request  *http.Request
	target   *routing.Target
	id       string
	deadline time.Time
	depth    int
	body     *replayBody
	version  config.VersionName
	tried    []*routing.Endpoint
}

// carry tries upstreams until the call is answered, may not be sent again, or
// nothing is left to try.
func (c *ingressCall) carry(ctx context.Context) {
	last := Verdict{Outcome: NotRun, Reason: ReasonNoUpstream}
	for attempt := 1; attempt <= _maxAttempts; attempt++ {
		endpoint, ok := c.choose()
		if !ok {
			break
		}
		if attempt > 1 {
			c.ingress.d.Metrics.retries.Add(1)
		}
		began := c.ingress.d.Now()
		verdict := c.try(ctx, endpoint, attempt)
		c.log(endpoint, attempt, verdict, c.ingress.d.Now().Sub(began))
		if verdict.Outcome == Answered {
			c.ingress.d.Metrics.count(verdict)
			return
		}
		last = worse(last, verdict)
		c.tried = append(c.tried, endpoint)
		if !c.mayRetry(ctx, verdict) {
			break
		}
	}
	if len(c.tried) == 0 {
		c.ingress.d.Logger.Info("Refused call", "call", c.id, "route", c.target.Route.Name, "version", c.version, "reason", last.Reason)
	}
	c.ingress.d.Metrics.count(last)
	last.write(c.writer, last.status())
}

// worse returns the verdict that is true of both tries together: a call of
// which one try is unknown is unknown.
func worse(before, now Verdict) Verdict {
	if before.Outcome == Unknown && now.Outcome == NotRun {
		return before
	}
	return now
}

// choose returns the upstream for the next try. When the version has none
// left, the baseline takes the call, never the candidate of a rollout.
func (c *ingressCall) choose() (*routing.Endpoint, bool) {
	service := c.target.Service
	now := c.ingress.d.Now()
	endpoint, ok := c.ingress.d.Endpoints.Choose(now, service.Name, c.version, c.tried)
	if ok || service.Rollout.ID == "" || c.version == service.Rollout.Baseline {
		return endpoint, ok
	}
	return c.ingress.d.Endpoints.Choose(now, service.Name, service.Rollout.Baseline, c.tried)
}

func (c *ingressCall) mayRetry(ctx context.Context, v Verdict) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	repeat := repeatable(c.request.Method) && c.target.Route.Class == config.ClassLookup
	if v.Outcome == Unknown && (!repeat || v.Reason == ReasonDeadline || v.Reason == ReasonUnbounded) {
		return false
	}
	now := c.ingress.d.Now()
	return c.ingress.d.Budgets.For(now, c.target.Service.Name).Take(now)
}

// try sends the call to one upstream. When the verdict is Answered, the
// answer was passed on.
func (c *ingressCall) try(ctx context.Context, endpoint *routing.Endpoint, attempt int) Verdict {
	endpoint.Begin()
	defer endpoint.End()
	body := c.body.attempt()
	defer func() { _ = body.Close() }()
	var track tracker
	response, err := c.ingress.d.Transport.RoundTrip(c.forward(track.context(ctx), endpoint, attempt, body))
	if err != nil {
		verdict := failure(ctx, &track)
		if verdict.Reason != ReasonCanceled {
			endpoint.FailedCall(c.ingress.d.Now())
		}
		return verdict
	}
	defer func() { _ = response.Body.Close() }()
	c.learn(endpoint, response)
	if verdict, ok := refused(response); ok {
		return verdict
	}
	c.answer(response)
	return Verdict{Outcome: Answered}
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

// refused returns the verdict of an owner that did not pass on an answer.
func refused(response *http.Response) (Verdict, bool) {
	reason := Reason(response.Header.Get(HeaderReason))
	switch response.Header.Get(HeaderOutcome) {
	case NotRun.String():
		return Verdict{Outcome: NotRun, Reason: reason}, true
	case Unknown.String():
		return Verdict{Outcome: Unknown, Reason: reason}, true
	default:
		return Verdict{}, false
	}
}

// learn takes in what an answer says of the upstream.
func (c *ingressCall) learn(endpoint *routing.Endpoint, response *http.Response) {
	now := c.ingress.d.Now()
	if load, err := strconv.Atoi(response.Header.Get(headerLoad)); err == nil {
		endpoint.Loaded(now, load)
	}
	verdict, isRefused := refused(response)
	switch {
	case isRefused && verdict.Reason != Reason(admission.ReasonTooLate) && verdict.Reason != Reason(admission.ReasonQueueFull),
		response.StatusCode >= http.StatusInternalServerError && !isRefused:
		endpoint.FailedCall(now)
	case !isRefused:
		endpoint.Succeeded()
	}
}

func (c *ingressCall) answer(response *http.Response) {
	if err := copyAnswer(c.writer, response); err != nil {
		c.ingress.d.Metrics.count(Verdict{Outcome: Unknown, Reason: ReasonBroken})
		c.ingress.d.Logger.Info("Broke off answer", "call", c.id, "cause", err)
		// The caller must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
}

// forward returns the request as the upstream's owner gets it.
func (c *ingressCall) forward(ctx context.Context, endpoint *routing.Endpoint, attempt int, body *attemptBody) *http.Request {
	out := outgoing(ctx, c.request, endpoint.Address, body)
	call := forwarded{
		id:      c.id,
		attempt: attempt,
		owner:   endpoint.Owner,
		route:   c.target.Route.Name,
		class:   c.target.Route.Class,
		caller:  callerOf(c.request),
	}
	out.Header[headerCall] = []string{call.String()}
	out.Header[HeaderDepth] = []string{strconv.Itoa(c.depth + 1)}
	out.Header[HeaderRemaining] = []string{formatRemaining(c.deadline.Sub(c.ingress.d.Now()))}
	return out
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (c *ingressCall) log(endpoint *routing.Endpoint, attempt int, v Verdict, took time.Duration) {
	c.ingress.d.Logger.Info("Routed call",
		"call", c.id,
		"route", c.target.Route.Name,
		"version", endpoint.Member.Version,
		"upstream", endpoint.Member.ID,
		"attempt", attempt,
		"outcome", v.Outcome.String(),
		"reason", v.Reason,
		"took", took,
	)
}
