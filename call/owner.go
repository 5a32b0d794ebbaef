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

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/identity"
	"lentilferry.example/lentilferry/membership"
)

// Observer takes in what owners see.
type Observer interface {
	Observe(now time.Time, o evidence.Observation)
}

// OwnerDependencies are what an Owner is built from.
type OwnerDependencies struct {
	// Self returns the node's own record.
	Self func() membership.Member
	// Upstream is where the node's upstream listens.
	Upstream netip.AddrPort
	// Transport carries calls to the upstream; see NewUpstreamTransport.
	Transport http.RoundTripper
	Gate      *admission.Gate
	Record    *identity.Record
	Observer  Observer
	Metrics   *Metrics
	Now       func() time.Time
}

// Owner carries calls to the node's own upstream. It alone decides what the
// upstream runs.
type Owner struct {
	d OwnerDependencies
	// upstream is the upstream's address as text.
	upstream string
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
}

var _ http.Handler = (*Owner)(nil)

// NewOwner returns the owner of one upstream.
func NewOwner(d OwnerDependencies) *Owner {
	return &Owner{d: d, upstream: d.Upstream.String()}
}

// IsForwarded reports whether a request comes from another node's ingress.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(headerCall) != ""
}

// Wait returns when all calls have ended.
func (o *Owner) Wait() {
	o.inFlight.Wait()
}

// ServeHTTP carries one forwarded call.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.Add(1)
	defer o.inFlight.Done()
	now := o.d.Now()
	left, err := remaining(r.Header, config.MaxTimeout)
	if err != nil || left <= 0 {
		o.refuse(w, ReasonDeadline)
		return
	}
	f, err := parseForwarded(r.Header.Get(headerCall))
	if err != nil || f.owner != o.d.Self().Instance() {
		o.refuse(w, ReasonWrongOwner)
		return
	}
	p := &ownerCall{owner: o, writer: w, request: r, forwarded: f, arrived: now, deadline: now.Add(left)}
	ctx, cancel := context.WithDeadline(r.Context(), p.deadline)
	defer cancel()
	limitReading(w, r, p.deadline)
	if streamsIn(r) {
		allowEarlyAnswer(w)
		defer drain(w, r)
	}
	p.pass(ctx)
}

// ownerCall is one call on its way through its owner.
type ownerCall struct {
	owner     *Owner
	writer    http.ResponseWriter
	request   *http.Request
	forwarded forwarded
	arrived   time.Time
	deadline  time.Time
}

func (p *ownerCall) pass(ctx context.Context) {
	if verdict := p.claim(); verdict.Outcome != Answered {
		p.owner.answerVerdict(p.writer, verdict)
		return
	}
	ticket, reason := p.enter(ctx)
	if reason != "" {
		if overloaded(reason) {
			p.observe(true)
		}
		p.owner.refuse(p.writer, reason)
		return
	}
	p.run(ctx, ticket)
}

// overloaded reports whether a refusal speaks against the upstream's version:
// one that is leaving, or whose caller gave up, does not.
func overloaded(reason Reason) bool {
	return reason == Reason(admission.ReasonQueueFull) || reason == Reason(admission.ReasonTooLate)
}

// claim makes sure that a call that may run once only did not arrive before.
func (p *ownerCall) claim() Verdict {
	if repeatable(p.request.Method) {
		return Verdict{Outcome: Answered}
	}
	switch p.owner.d.Record.Claim(p.arrived, p.forwarded.identity()) {
	case identity.First:
		return Verdict{Outcome: Answered}
	case identity.Duplicate:
		return Verdict{Outcome: Unknown, Reason: ReasonDuplicate}
	default:
		return Verdict{Outcome: NotRun, Reason: ReasonIdentityFull}
	}
}

// enter waits for a slot. The reason is empty when the call was admitted.
func (p *ownerCall) enter(ctx context.Context) (*admission.Ticket, Reason) {
	gate := p.owner.d.Gate
	ticket := gate.Enter(p.arrived, admission.Request{
		Class:    p.forwarded.class,
		Caller:   p.forwarded.caller,
		Deadline: p.deadline,
	})
	select {
	case <-ticket.Decided():
		return ticket, Reason(ticket.Reason())
	default:
	}
	timer := time.NewTimer(gate.LongestWait(p.forwarded.class))
	defer timer.Stop()
	select {
	case <-ticket.Decided():
	case <-timer.C:
		gate.Expire(p.owner.d.Now())
		<-ticket.Decided()
	case <-ctx.Done():
		if !gate.Abandon(ticket) && ticket.Reason() == "" {
			gate.Leave(p.owner.d.Now(), ticket, admission.Done)
			return nil, Reason(admission.ReasonAbandoned)
		}
	}
	return ticket, Reason(ticket.Reason())
}

func (p *ownerCall) run(ctx context.Context, ticket *admission.Ticket) {
	o := p.owner
	result := admission.Done
	defer func() { o.d.Gate.Leave(o.d.Now(), ticket, result) }()
	var track tracker
	response, err := o.d.Transport.RoundTrip(o.upstreamRequest(track.context(ctx), p.request, p.deadline))
	if err != nil {
		verdict := failure(ctx, &track)
		if verdict.Reason == ReasonDeadline {
			result = admission.Shed
		}
		p.observe(verdict.Reason != ReasonCanceled)
		o.answerVerdict(p.writer, verdict)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		result = admission.Shed
	}
	p.answer(response)
}

func (p *ownerCall) answer(response *http.Response) {
	o := p.owner
	switch {
	case response.Header.Get(HeaderOutcome) == NotRun.String():
		p.observe(true)
		o.answerVerdict(p.writer, Verdict{Outcome: NotRun, Reason: ReasonUpstreamRefused})
		return
	case !endIsKnown(response):
		p.observe(true)
		o.answerVerdict(p.writer, Verdict{Outcome: Unknown, Reason: ReasonUnbounded})
		return
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	took := o.d.Now().Sub(p.arrived)
	p.writer.Header()[headerLoad] = []string{o.load()}
	if err := copyAnswer(p.writer, response); err != nil {
		p.record(took, failed || !errors.Is(err, errWriteAnswer))
		o.d.Metrics.count(Verdict{Outcome: Unknown, Reason: ReasonBroken})
		// The reader must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
	p.record(took, failed)
	o.d.Metrics.count(Verdict{Outcome: Answered})
}

// observe records a call that got no answer.
func (p *ownerCall) observe(failed bool) {
	p.record(p.owner.d.Now().Sub(p.arrived), failed)
}

func (p *ownerCall) record(took time.Duration, failed bool) {
	p.owner.d.Observer.Observe(p.owner.d.Now(), evidence.Observation{Route: p.forwarded.route, Failed: failed, Took: took})
}

func (o *Owner) refuse(w http.ResponseWriter, reason Reason) {
	o.answerVerdict(w, Verdict{Outcome: NotRun, Reason: reason})
}

func (o *Owner) answerVerdict(w http.ResponseWriter, v Verdict) {
	o.d.Metrics.count(v)
	w.Header().Set(headerLoad, o.load())
	v.write(w, v.status())
}

func (o *Owner) load() string {
	load := o.d.Gate.Load()
	return strconv.Itoa(load.Running + load.Waiting)
}

// upstreamRequest returns the request as the upstream gets it.
func (o *Owner) upstreamRequest(ctx context.Context, r *http.Request, deadline time.Time) *http.Request {
	out := outgoing(ctx, r, o.upstream, r.Body)
	out.Header[HeaderRemaining] = []string{formatRemaining(deadline.Sub(o.d.Now()))}
	out.Header[HeaderDepth] = r.Header[HeaderDepth]
	return out
}

// noRewind returns a request's body, or one that keeps the transport from sending a call twice
// by itself, which it does with calls without a body that are safe or have an
// idempotency key.
func noRewind(r *http.Request, body io.ReadCloser) io.ReadCloser {
	if r.ContentLength != 0 {
		return body
	}
	if repeatable(r.Method) || hasIdempotencyKey(r.Header) {
		return io.NopCloser(strings.NewReader(""))
	}
	return http.NoBody
}

func hasIdempotencyKey(h http.Header) bool {
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}
