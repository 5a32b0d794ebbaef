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
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
}

var _ http.Handler = (*Owner)(nil)

// NewOwner returns the owner of one upstream.
func NewOwner(d OwnerDependencies) *Owner {
	return &Owner{d: d}
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
	if r.Header.Get(headerOwner) != OwnerName(o.d.Self()) {
		o.refuse(w, ReasonWrongOwner)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(left))
	defer cancel()
	if verdict := o.claim(now, r); verdict.Outcome != Answered {
		o.d.Metrics.count(verdict)
		verdict.write(w, verdict.status())
		return
	}
	ticket, reason := o.enter(ctx, now, r, now.Add(left))
	if reason != "" {
		o.observe(r, now, true)
		o.refuse(w, reason)
		return
	}
	o.run(ctx, w, r, ticket, now)
}

// OwnerName names a member as the owner of a call: a node that has restarted
// since is another owner.
func OwnerName(m membership.Member) string {
	return string(m.ID) + "/" + strconv.FormatUint(m.Incarnation, 10)
}

// claim makes sure that a call that may run once only did not arrive before.
func (o *Owner) claim(now time.Time, r *http.Request) Verdict {
	if repeatable(r.Method) {
		return Verdict{Outcome: Answered}
	}
	id := r.Header.Get(headerCall) + "/" + r.Header.Get(headerAttempt)
	switch o.d.Record.Claim(now, id) {
	case identity.First:
		return Verdict{Outcome: Answered}
	case identity.Duplicate:
		return Verdict{Outcome: Unknown, Reason: ReasonDuplicate}
	default:
		return Verdict{Outcome: NotRun, Reason: ReasonIdentityFull}
	}
}

// enter waits for a slot. The reason is empty when the call was admitted.
func (o *Owner) enter(ctx context.Context, now time.Time, r *http.Request, deadline time.Time) (*admission.Ticket, Reason) {
	request := admission.Request{Class: config.ClassLookup, Caller: r.Header.Get(headerCaller), Deadline: deadline}
	if r.Header.Get(headerClass) == config.ClassCommand.String() {
		request.Class = config.ClassCommand
	}
	ticket := o.d.Gate.Enter(now, request)
	select {
	case <-ticket.Decided():
		return ticket, Reason(ticket.Reason())
	default:
	}
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		if !o.d.Gate.Abandon(ticket) && ticket.Reason() == "" {
			o.d.Gate.Leave(o.d.Now(), ticket, admission.Done)
			return nil, Reason(admission.ReasonAbandoned)
		}
	}
	return ticket, Reason(ticket.Reason())
}

func (o *Owner) run(ctx context.Context, w http.ResponseWriter, r *http.Request, ticket *admission.Ticket, arrived time.Time) {
	result := admission.Done
	defer func() { o.d.Gate.Leave(o.d.Now(), ticket, result) }()
	var track tracker
	response, err := o.d.Transport.RoundTrip(o.upstreamRequest(track.context(ctx), r))
	if err != nil {
		verdict := o.failed(ctx, &track)
		if verdict.Reason == ReasonDeadline {
			result = admission.Shed
		}
		o.observe(r, arrived, verdict.Reason != ReasonCanceled)
		o.answerVerdict(w, verdict)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		result = admission.Shed
	}
	o.answer(w, r, response, arrived)
}

func (o *Owner) failed(ctx context.Context, track *tracker) Verdict {
	if track.nothingSent() {
		return Verdict{Outcome: NotRun, Reason: ReasonUnreachable}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Verdict{Outcome: Unknown, Reason: ReasonDeadline}
	case ctx.Err() != nil:
		return Verdict{Outcome: Unknown, Reason: ReasonCanceled}
	default:
		return Verdict{Outcome: Unknown, Reason: ReasonBroken}
	}
}

func (o *Owner) answer(w http.ResponseWriter, r *http.Request, response *http.Response, arrived time.Time) {
	switch {
	case response.Header.Get(HeaderOutcome) == NotRun.String():
		o.observe(r, arrived, true)
		o.answerVerdict(w, Verdict{Outcome: NotRun, Reason: ReasonUpstreamRefused})
		return
	case !endIsKnown(response):
		o.observe(r, arrived, true)
		o.answerVerdict(w, Verdict{Outcome: Unknown, Reason: ReasonUnbounded})
		return
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	took := o.d.Now().Sub(arrived)
	removeHopByHop(response.Header)
	removeOwn(response.Header)
	w.Header().Set(headerLoad, o.load())
	if err := copyAnswer(w, response); err != nil {
		broken := !errors.Is(err, errWriteAnswer)
		o.d.Observer.Observe(o.d.Now(), o.observation(r, took, failed || broken))
		o.d.Metrics.count(Verdict{Outcome: Unknown, Reason: ReasonBroken})
		// The reader must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
	o.d.Observer.Observe(o.d.Now(), o.observation(r, took, failed))
	o.d.Metrics.count(Verdict{Outcome: Answered})
}

func (o *Owner) observation(r *http.Request, took time.Duration, failed bool) evidence.Observation {
	return evidence.Observation{Route: config.RouteName(r.Header.Get(headerRoute)), Failed: failed, Took: took}
}

func (o *Owner) observe(r *http.Request, arrived time.Time, failed bool) {
	now := o.d.Now()
	o.d.Observer.Observe(now, o.observation(r, now.Sub(arrived), failed))
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
func (o *Owner) upstreamRequest(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = o.d.Upstream.String()
	out.RequestURI = ""
	out.Close = false
	removeHopByHop(out.Header)
	removeOwn(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(HeaderRemaining, formatRemaining(deadline.Sub(o.d.Now())))
	}
	out.Header.Set(HeaderDepth, r.Header.Get(HeaderDepth))
	out.Body = noRewind(r)
	out.GetBody = nil
	out.Trailer = r.Trailer
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		out.Header.Set("User-Agent", "")
	}
	return out
}

// noRewind returns the body that keeps the transport from sending a call twice
// by itself, which it does with calls without a body that are safe or have an
// idempotency key.
func noRewind(r *http.Request) io.ReadCloser {
	if r.ContentLength != 0 {
		return r.Body
	}
	if repeatable(r.Method) || hasIdempotencyKey(r.Header) {
		return io.NopCloser(strings.NewReader(""))
	}
	return http.NoBody
}

func hasIdempotencyKey(h http.Header) bool {
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}
