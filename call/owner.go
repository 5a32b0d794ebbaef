package call

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/identity"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/upstream"
)

// Observer takes in what owners see.
type Observer interface {
	Observe(now time.Time, o evidence.Observation)
}

// UpstreamProcess tells which process of the upstream takes calls, and is told how it
// answers.
type UpstreamProcess interface {
	// Current returns the process that calls are meant for; empty for any. It
	// returns false when none takes calls.
	Current(now time.Time) (upstream.ID, bool)
	// ReportAnswered says that the process answered a call.
	ReportAnswered(now time.Time, id upstream.ID)
	// ReportUnreachable says that the process took no connection.
	ReportUnreachable(now time.Time, id upstream.ID)
}

// OwnerDependencies are what an Owner is built from.
type OwnerDependencies struct {
	// Self returns the node's own record.
	Self func() membership.Member
	// Upstream is where the node's upstream listens.
	Upstream netip.AddrPort
	// Process is nil where the upstream is whatever listens.
	Process UpstreamProcess
	// Transport carries calls to the upstream; see NewUpstreamClient.
	Transport http.RoundTripper
	Dialect   Dialect
	// AllowCloseDelimited allows answers without a length, which end with their
	// connection.
	AllowCloseDelimited bool
	Gate                *admission.Gate
	Identities          *identity.Record
	Observer            Observer
	Metrics             *Metrics
	Logger              klog.Logger
	Now                 func() time.Time
}

// Owner carries calls to the node's own upstream. It alone decides what the
// upstream runs.
type Owner struct {
	deps OwnerDependencies
	// upstream is the upstream's address as text.
	upstream string
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
}

var _ http.Handler = (*Owner)(nil)

// NewOwner returns the owner of one upstream.
func NewOwner(d OwnerDependencies) *Owner {
	return &Owner{deps: d, upstream: d.Upstream.String()}
}

// IsForwarded reports whether a request comes from another node's ingress.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(headerCall) != ""
}

// Wait returns when all calls have ended.
func (o *Owner) Wait() {
	o.inFlight.Wait()
}

// ServeHTTP carries one call that another node forwarded.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.Add(1)
	defer o.inFlight.Done()
	now := o.deps.Now()
	remaining, stated, err := parseRemaining(r.Header)
	if !stated {
		remaining = config.MaxTimeout
	}
	f, parseErr := parseForwardedCall(r.Header.Get(headerCall))
	if err != nil || parseErr != nil {
		o.write(w, o.notRun(ReasonWrongOwner))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(remaining))
	defer cancel()
	setReadDeadline(w, r, now.Add(remaining))
	if needsFullDuplex(r) {
		enableFullDuplex(w)
		defer drainRequest(w, r)
	}
	response, result := o.carry(ctx, r, f, remaining)
	if result.Outcome != Answered {
		o.write(w, result)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := copyResponse(w, response); err != nil {
		o.deps.Metrics.count(Result{Outcome: Unknown, Reason: ReasonConnectionBroken})
		// The reader must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
}

// carry takes one call to the upstream. When the verdict is Answered, the
// answer's body must be closed.
func (o *Owner) carry(ctx context.Context, r *http.Request, f forwardedCall, remaining time.Duration) (*http.Response, Result) {
	now := o.deps.Now()
	p := &ownerCall{owner: o, request: r, forwarded: f, arrived: now, deadline: now.Add(remaining)}
	response, result := p.pass(ctx)
	o.deps.Metrics.count(result)
	if result.Outcome == Answered {
		response.Header[headerLoad] = []string{o.load()}
	}
	return response, result
}

// ownerCall is one call on its way through its owner.
type ownerCall struct {
	owner     *Owner
	request   *http.Request
	forwarded forwardedCall
	arrived   time.Time
	deadline  time.Time
	// process is the upstream process that the call is meant for.
	process upstream.ID
	// admittedAt is when the call got its slot; zero before.
	admittedAt time.Time
}

func (p *ownerCall) pass(ctx context.Context) (*http.Response, Result) {
	o := p.owner
	switch {
	case !p.deadline.After(p.arrived):
		return nil, o.notRun(ReasonDeadline)
	case p.forwarded.owner != o.deps.Self().Instance():
		return nil, o.notRun(ReasonWrongOwner)
	}
	if result := p.claimIdentity(); result.Outcome != Answered {
		return nil, result
	}
	ticket, result := p.awaitSlot(ctx)
	if result.Outcome != Answered {
		// The slots of an upstream that announces them are exact: a full queue
		// says how many calls there are and nothing of the version.
		if overloaded(result.Reason) && o.deps.Process == nil {
			p.recordUnanswered(true)
		}
		return nil, result
	}
	// The process may have left while the call waited.
	if !p.resolveProcess() {
		o.deps.Gate.Leave(o.deps.Now(), ticket, admission.Refused)
		return nil, o.notRun(ReasonNoUpstream)
	}
	return p.run(ctx, ticket)
}

func (p *ownerCall) resolveProcess() bool {
	process := p.owner.deps.Process
	if process == nil {
		return true
	}
	id, ok := process.Current(p.owner.deps.Now())
	p.process = id
	return ok
}

// overloaded reports whether a refusal speaks against the upstream's version:
// one that is leaving, or whose caller gave up, does not.
func overloaded(reason Reason) bool {
	return reason == Reason(admission.ReasonQueueFull) || reason == Reason(admission.ReasonTooLate)
}

// claim makes sure that a call that may run once only did not arrive before.
func (p *ownerCall) claimIdentity() Result {
	if p.forwarded.idempotent {
		return Result{Outcome: Answered}
	}
	switch p.owner.deps.Identities.Claim(p.arrived, p.forwarded.attemptID()) {
	case identity.First:
		return Result{Outcome: Answered}
	case identity.Duplicate:
		return Result{Outcome: Unknown, Reason: ReasonDuplicate}
	default:
		return Result{Outcome: NotRun, Reason: ReasonIdentityRecordFull}
	}
}

// enter waits for a slot.
func (p *ownerCall) awaitSlot(ctx context.Context) (*admission.Ticket, Result) {
	o := p.owner
	gate := o.deps.Gate
	ticket := gate.Enter(p.arrived, admission.Request{
		Class:    p.forwarded.class,
		Caller:   p.forwarded.caller,
		Deadline: p.deadline,
		Rank:     p.forwarded.rank,
		Route:    p.forwarded.route,
		Useful:   p.arrived.Add(p.forwarded.usefulFor),
	})
	select {
	case <-ticket.Decided():
		return ticket, p.admissionResult(ticket)
	default:
	}
	timer := time.NewTimer(gate.LongestWait(p.forwarded.class))
	defer timer.Stop()
	select {
	case <-ticket.Decided():
	case <-timer.C:
		gate.Expire(o.deps.Now())
		<-ticket.Decided()
	case <-ctx.Done():
		if !gate.Abandon(ticket) && ticket.Reason() == "" {
			gate.Leave(o.deps.Now(), ticket, admission.Refused)
			return nil, o.notRun(Reason(admission.ReasonAbandoned))
		}
	}
	return ticket, p.admissionResult(ticket)
}

func (p *ownerCall) admissionResult(ticket *admission.Ticket) Result {
	if ticket.Reason() == "" {
		return Result{Outcome: Answered}
	}
	result := p.owner.notRun(Reason(ticket.Reason()))
	result.RetryAfter = ticket.RetryAfter()
	return result
}

// _refusalTextMost is how much of a refusal's text is read.
const _maxRefusalBodyBytes = 4 << 10

func (p *ownerCall) run(ctx context.Context, ticket *admission.Ticket) (*http.Response, Result) {
	o := p.owner
	ending := admission.Done
	p.admittedAt = o.deps.Now()
	leave := sync.OnceFunc(func() { o.deps.Gate.Leave(o.deps.Now(), ticket, ending) })
	var tracker writeTracker
	response, err := o.deps.Transport.RoundTrip(p.newUpstreamRequest(tracker.withTrace(ctx)))
	if err != nil {
		result := p.failed(ctx, &tracker)
		ending = admission.Refused
		if result.Reason == ReasonDeadline {
			ending = admission.Shed
		}
		leave()
		return nil, result
	}
	if o.deps.Process != nil {
		o.deps.Process.ReportAnswered(o.deps.Now(), p.process)
	}
	if result := p.classifyResponse(response); result.Outcome != Answered {
		// Reading the short text of a refusal keeps the connection of use.
		_, _ = io.CopyN(io.Discard, response.Body, _maxRefusalBodyBytes)
		_ = response.Body.Close()
		ending = admission.Refused
		if result.Outcome == NotRun {
			ending = admission.Shed
		}
		leave()
		return nil, result
	}
	took := o.deps.Now().Sub(p.admittedAt)
	if err := bufferResponse(response); err != nil {
		_ = response.Body.Close()
		p.recordUnanswered(true)
		leave()
		return nil, classifyFailure(ctx, &tracker)
	}
	p.recordObservation(took, response.StatusCode >= http.StatusInternalServerError)
	if _, kept := response.Body.(*bufferedBody); kept {
		leave()
		return response, Result{Outcome: Answered}
	}
	response.Body = &slotReleasingBody{ReadCloser: response.Body, release: leave}
	return response, Result{Outcome: Answered}
}

// failed returns the verdict on a call that the upstream did not answer.
func (p *ownerCall) failed(ctx context.Context, tracker *writeTracker) Result {
	o := p.owner
	result := classifyFailure(ctx, tracker)
	if result.Reason == ReasonUnreachable && o.deps.Process != nil {
		o.deps.Process.ReportUnreachable(o.deps.Now(), p.process)
	}
	p.recordUnanswered(result.Reason != ReasonCanceled)
	o.deps.Logger.Info("Upstream did not answer", "call", p.forwarded.id, "process", p.process,
		"outcome", result.Outcome.String(), "reason", result.Reason)
	return result
}

// classifyResponse returns the verdict on an answer by its headers.
func (p *ownerCall) classifyResponse(response *http.Response) Result {
	o := p.owner
	switch {
	case o.deps.Dialect.IsNotRun(response.StatusCode, response.Header):
		p.recordUnanswered(true)
		return Result{Outcome: NotRun, Reason: ReasonUpstreamRefused}
	case !isSelfDelimiting(response) && !o.deps.AllowCloseDelimited:
		p.recordUnanswered(true)
		return Result{Outcome: Unknown, Reason: ReasonCloseDelimited}
	default:
		return Result{Outcome: Answered}
	}
}

// observe records a call that got no answer.
func (p *ownerCall) recordUnanswered(failed bool) {
	p.recordObservation(p.owner.deps.Now().Sub(p.arrived), failed)
}

func (p *ownerCall) recordObservation(took time.Duration, failed bool) {
	p.owner.deps.Observer.Observe(p.owner.deps.Now(), evidence.Observation{Route: p.forwarded.route, Failed: failed, Took: took})
}

func (o *Owner) notRun(reason Reason) Result {
	return Result{Outcome: NotRun, Reason: reason}
}

// write answers another node with a verdict, in the product's own headers.
func (o *Owner) write(w http.ResponseWriter, result Result) {
	w.Header()[headerLoad] = []string{o.load()}
	if result.RetryAfter > 0 {
		w.Header()[headerRetryMillis] = []string{formatMillis(result.RetryAfter)}
	}
	result.write(w, NativeDialect{})
}

// load returns the upstream's load as it stands in headerLoad: calls, slots
// and the average milliseconds of a call.
func (o *Owner) load() string {
	load := o.deps.Gate.Load()
	return strconv.Itoa(load.Running+load.Waiting) + " " + strconv.Itoa(load.Limit) + " " + formatMillis(load.Work)
}

// upstreamRequest returns the request as the upstream gets it.
func (p *ownerCall) newUpstreamRequest(ctx context.Context) *http.Request {
	o := p.owner
	out := newOutgoingRequest(ctx, p.request, o.upstream, p.request.Body, o.deps.Dialect)
	callDepth, err := parseDepth(p.request.Header)
	if err != nil {
		// Only nodes set the depth that an owner reads.
		o.deps.Logger.Info("Depth not read", "call", p.forwarded.id, "cause", err.Error())
	}
	o.deps.Dialect.SetUpstreamHeaders(out.Header, UpstreamHeaders{
		Remaining: p.deadline.Sub(o.deps.Now()),
		Process:   p.process,
		Origin:    p.forwarded.origin,
		Depth:     callDepth,
	})
	return out
}

// noRewind returns a request's body, or one that keeps the transport from sending a call twice
// by itself, which it does with calls without a body that are safe or have an
// idempotency key.
func preventTransportRetry(r *http.Request, body io.ReadCloser) io.ReadCloser {
	if r.ContentLength != 0 {
		return body
	}
	if isSafeMethod(r.Method) || hasIdempotencyKey(r.Header) {
		return io.NopCloser(strings.NewReader(""))
	}
	return http.NoBody
}

func hasIdempotencyKey(h http.Header) bool {
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}
