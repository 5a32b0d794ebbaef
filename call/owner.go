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
		o.writeResult(w, o.notRun(ReasonWrongOwner))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(remaining))
	defer cancel()
	setReadDeadline(w, r, now.Add(remaining))
	if needsFullDuplex(r) {
		enableFullDuplex(w)
		defer drainRequest(w, r)
	}
	response, result := o.handle(ctx, r, f, remaining)
	if result.Outcome != Answered {
		o.writeResult(w, result)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := copyResponse(w, response); err != nil {
		o.deps.Metrics.count(Result{Outcome: Unknown, Reason: ReasonConnectionBroken})
		// The reader must see a broken answer, never a shorter whole one.
		panic(http.ErrAbortHandler)
	}
}

// handle takes one call to the upstream. When the verdict is Answered, the
// answer's body must be closed.
func (o *Owner) handle(ctx context.Context, r *http.Request, f forwardedCall, remaining time.Duration) (*http.Response, Result) {
	now := o.deps.Now()
	c := &ownerCall{owner: o, request: r, forwarded: f, arrivedAt: now, deadline: now.Add(remaining)}
	response, result := c.execute(ctx)
	o.deps.Metrics.count(result)
	if result.Outcome == Answered {
		response.Header[headerLoad] = []string{o.loadHeader()}
	}
	return response, result
}

// ownerCall is one call on its way through its owner.
type ownerCall struct {
	owner     *Owner
	request   *http.Request
	forwarded forwardedCall
	arrivedAt time.Time
	deadline  time.Time
	// process is the upstream process that the call is meant for.
	process upstream.ID
	// admittedAt is when the call got its slot; zero before.
	admittedAt time.Time
}

func (c *ownerCall) execute(ctx context.Context) (*http.Response, Result) {
	o := c.owner
	switch {
	case !c.deadline.After(c.arrivedAt):
		return nil, o.notRun(ReasonDeadline)
	case c.forwarded.owner != o.deps.Self().Instance():
		return nil, o.notRun(ReasonWrongOwner)
	}
	if result := c.claimIdentity(); result.Outcome != Answered {
		return nil, result
	}
	ticket, result := c.awaitSlot(ctx)
	if result.Outcome != Answered {
		// The slots of an upstream that announces them are exact: a full queue
		// says how many calls there are and nothing of the version.
		if isOverload(result.Reason) && o.deps.Process == nil {
			c.recordUnanswered(true)
		}
		return nil, result
	}
	// The process may have left while the call waited.
	if !c.resolveProcess() {
		o.deps.Gate.Release(o.deps.Now(), ticket, admission.NotRun)
		return nil, o.notRun(ReasonNoUpstream)
	}
	return c.sendToUpstream(ctx, ticket)
}

func (c *ownerCall) resolveProcess() bool {
	process := c.owner.deps.Process
	if process == nil {
		return true
	}
	id, ok := process.Current(c.owner.deps.Now())
	c.process = id
	return ok
}

// isOverload reports whether a refusal speaks against the upstream's version:
// one that is leaving, or whose caller gave up, does not.
func isOverload(reason Reason) bool {
	return reason == Reason(admission.ReasonQueueFull) || reason == Reason(admission.ReasonTooLate)
}

// claim makes sure that a call that may run once only did not arrive before.
func (c *ownerCall) claimIdentity() Result {
	if c.forwarded.idempotent {
		return Result{Outcome: Answered}
	}
	switch c.owner.deps.Identities.Claim(c.arrivedAt, c.forwarded.attemptID()) {
	case identity.First:
		return Result{Outcome: Answered}
	case identity.Duplicate:
		return Result{Outcome: Unknown, Reason: ReasonDuplicate}
	default:
		return Result{Outcome: NotRun, Reason: ReasonIdentityRecordFull}
	}
}

// enter waits for a slot.
func (c *ownerCall) awaitSlot(ctx context.Context) (*admission.Ticket, Result) {
	o := c.owner
	gate := o.deps.Gate
	ticket := gate.Acquire(c.arrivedAt, admission.Request{
		Class:       c.forwarded.class,
		Caller:      c.forwarded.caller,
		Deadline:    c.deadline,
		Rank:        c.forwarded.rank,
		Route:       c.forwarded.route,
		UsefulUntil: c.arrivedAt.Add(c.forwarded.usefulFor),
	})
	select {
	case <-ticket.Decided():
		return ticket, c.admissionResult(ticket)
	default:
	}
	timer := time.NewTimer(gate.MaxWait(c.forwarded.class))
	defer timer.Stop()
	select {
	case <-ticket.Decided():
	case <-timer.C:
		gate.Expire(o.deps.Now())
		<-ticket.Decided()
	case <-ctx.Done():
		if !gate.Abandon(ticket) && ticket.Reason() == "" {
			gate.Release(o.deps.Now(), ticket, admission.NotRun)
			return nil, o.notRun(Reason(admission.ReasonAbandoned))
		}
	}
	return ticket, c.admissionResult(ticket)
}

func (c *ownerCall) admissionResult(ticket *admission.Ticket) Result {
	if ticket.Reason() == "" {
		return Result{Outcome: Answered}
	}
	result := c.owner.notRun(Reason(ticket.Reason()))
	result.RetryAfter = ticket.RetryAfter()
	return result
}

// _refusalTextMost is how much of a refusal's text is read.
const _maxRefusalBodyBytes = 4 << 10

func (c *ownerCall) sendToUpstream(ctx context.Context, ticket *admission.Ticket) (*http.Response, Result) {
	o := c.owner
	ending := admission.Completed
	c.admittedAt = o.deps.Now()
	releaseSlot := sync.OnceFunc(func() { o.deps.Gate.Release(o.deps.Now(), ticket, ending) })
	var tracker writeTracker
	response, err := o.deps.Transport.RoundTrip(c.newUpstreamRequest(tracker.withTrace(ctx)))
	if err != nil {
		result := c.handleUpstreamFailure(ctx, &tracker)
		ending = admission.NotRun
		if result.Reason == ReasonDeadline {
			ending = admission.Shed
		}
		releaseSlot()
		return nil, result
	}
	if o.deps.Process != nil {
		o.deps.Process.ReportAnswered(o.deps.Now(), c.process)
	}
	if result := c.classifyResponse(response); result.Outcome != Answered {
		// Reading the short text of a refusal keeps the connection of use.
		_, _ = io.CopyN(io.Discard, response.Body, _maxRefusalBodyBytes)
		_ = response.Body.Close()
		ending = admission.NotRun
		if result.Outcome == NotRun {
			ending = admission.Shed
		}
		releaseSlot()
		return nil, result
	}
	took := o.deps.Now().Sub(c.admittedAt)
	if err := bufferResponse(response); err != nil {
		_ = response.Body.Close()
		c.recordUnanswered(true)
		releaseSlot()
		return nil, classifyFailure(ctx, &tracker)
	}
	c.recordObservation(took, response.StatusCode >= http.StatusInternalServerError)
	if _, buffered := response.Body.(*bufferedBody); buffered {
		releaseSlot()
		return response, Result{Outcome: Answered}
	}
	response.Body = &slotReleasingBody{ReadCloser: response.Body, release: releaseSlot}
	return response, Result{Outcome: Answered}
}

// handleUpstreamFailure returns the verdict on a call that the upstream did not answer.
func (c *ownerCall) handleUpstreamFailure(ctx context.Context, tracker *writeTracker) Result {
	o := c.owner
	result := classifyFailure(ctx, tracker)
	if result.Reason == ReasonUnreachable && o.deps.Process != nil {
		o.deps.Process.ReportUnreachable(o.deps.Now(), c.process)
	}
	c.recordUnanswered(result.Reason != ReasonCanceled)
	o.deps.Logger.Info("Upstream did not answer", "call", c.forwarded.id, "process", c.process,
		"outcome", result.Outcome.String(), "reason", result.Reason)
	return result
}

// classifyResponse returns the verdict on an answer by its headers.
func (c *ownerCall) classifyResponse(response *http.Response) Result {
	o := c.owner
	switch {
	case o.deps.Dialect.IsNotRun(response.StatusCode, response.Header):
		c.recordUnanswered(true)
		return Result{Outcome: NotRun, Reason: ReasonUpstreamRefused}
	case !isSelfDelimiting(response) && !o.deps.AllowCloseDelimited:
		c.recordUnanswered(true)
		return Result{Outcome: Unknown, Reason: ReasonCloseDelimited}
	default:
		return Result{Outcome: Answered}
	}
}

// observe records a call that got no answer.
func (c *ownerCall) recordUnanswered(failed bool) {
	c.recordObservation(c.owner.deps.Now().Sub(c.arrivedAt), failed)
}

func (c *ownerCall) recordObservation(took time.Duration, failed bool) {
	c.owner.deps.Observer.Observe(c.owner.deps.Now(), evidence.Observation{Route: c.forwarded.route, Failed: failed, Latency: took})
}

func (o *Owner) notRun(reason Reason) Result {
	return Result{Outcome: NotRun, Reason: reason}
}

// writeResult answers another node with a verdict, in the product's own headers.
func (o *Owner) writeResult(w http.ResponseWriter, result Result) {
	w.Header()[headerLoad] = []string{o.loadHeader()}
	if result.RetryAfter > 0 {
		w.Header()[headerRetryMillis] = []string{formatMillis(result.RetryAfter)}
	}
	result.write(w, NativeDialect{})
}

// loadHeader returns the upstream's loadHeader as it stands in headerLoad: calls, slots
// and the average milliseconds of a call.
func (o *Owner) loadHeader() string {
	load := o.deps.Gate.Load()
	return strconv.Itoa(load.Running+load.Waiting) + " " + strconv.Itoa(load.Limit) + " " + formatMillis(load.AverageDuration)
}

// upstreamRequest returns the request as the upstream gets it.
func (c *ownerCall) newUpstreamRequest(ctx context.Context) *http.Request {
	o := c.owner
	out := newOutgoingRequest(ctx, c.request, o.upstream, c.request.Body, o.deps.Dialect)
	callDepth, err := parseDepth(c.request.Header)
	if err != nil {
		// Only nodes set the depth that an owner reads.
		o.deps.Logger.Info("Depth not read", "call", c.forwarded.id, "cause", err.Error())
	}
	o.deps.Dialect.SetUpstreamHeaders(out.Header, UpstreamHeaders{
		Remaining:     c.deadline.Sub(o.deps.Now()),
		Process:       c.process,
		SourceService: c.forwarded.sourceService,
		Depth:         callDepth,
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
