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
	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/identity"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/upstream"
)

// Observer receives what owners observe of their upstream's calls.
type Observer interface {
	Observe(now time.Time, o evidence.Observation)
}

// UpstreamProcess tells which process of the upstream takes calls. The owner
// reports to it whether the process responds.
type UpstreamProcess interface {
	// Current returns the process that calls are for; empty for any. It returns
	// false when no process takes calls.
	Current(now time.Time) (upstream.ID, bool)
	// ReportAnswered reports that the process responded to a call.
	ReportAnswered(now time.Time, id upstream.ID)
	// ReportUnreachable reports that no call could be sent to the process.
	ReportUnreachable(now time.Time, id upstream.ID)
	// IsLeaving reports whether the process has said that it leaves.
	IsLeaving(id upstream.ID) bool
}

// OwnerDependencies holds what NewOwner needs.
type OwnerDependencies struct {
	// Self returns this node's member record.
	Self func() membership.Member
	// Table returns the routes in force, by which the keys of waiting calls are
	// checked again; nil if there are none. The function is nil where keys aren't
	// checked again.
	Table func() *routing.Table
	// Upstream is the address that the node's upstream listens on.
	Upstream netip.AddrPort
	// Process is nil where calls go to whatever process listens on Upstream.
	Process UpstreamProcess
	// Transport sends calls to the upstream; see NewUpstreamClient.
	Transport http.RoundTripper
	// Probe is asked after a connection to the upstream broke. It is nil where a
	// crash can't be told from a broken connection.
	Probe   ProcessProbe
	Dialect Dialect
	// AllowCloseDelimited allows responses without a length, which end with
	// their connection.
	AllowCloseDelimited bool
	// Gate admits calls to the upstream's slots.
	Gate *admission.Gate
	// Load keeps the load that the upstream reports; nil for none.
	Load *upstream.LoadTracker
	// Identities detects duplicates of calls that must not run twice.
	Identities *identity.Record
	// Crashes decides on calls that have crashed upstreams.
	Crashes *crash.Table
	// Buffers bounds the bodies that are kept in memory; nil for no bound.
	Buffers  *BufferBudget
	Observer Observer
	Metrics  *Metrics
	Logger   klog.Logger
	Now      func() time.Time
}

// Owner sends calls to the node's own upstream. It alone decides which calls
// the upstream runs.
type Owner struct {
	deps OwnerDependencies
	// upstream is the upstream's address and port.
	upstream string
	// inFlight counts the forwarded calls that have not ended.
	inFlight inFlightCalls
	// timeLimit is set by LimitTime.
	timeLimit timeLimit
}

var _ http.Handler = (*Owner)(nil)

// NewOwner returns the owner of one upstream.
func NewOwner(d OwnerDependencies) *Owner {
	if d.Load == nil {
		d.Load = upstream.NewLoadTracker()
	}
	return &Owner{deps: d, upstream: d.Upstream.String()}
}

// IsForwarded reports whether a request was forwarded by another node's
// ingress.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(headerCall) != ""
}

// LimitTime bounds the time of the calls that arrive from now on to the end of a
// planned stop: a call is refused as not run if its upstream usually takes
// longer. The time at which a sent call is interrupted doesn't change.
func (o *Owner) LimitTime(end time.Time) {
	o.timeLimit.set(end)
}

// Wait blocks until all forwarded calls have ended.
func (o *Owner) Wait() {
	o.inFlight.wait()
}

// ServeHTTP handles one call that another node forwarded.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.begin()
	defer o.inFlight.end()
	now := o.deps.Now()
	remaining, stated, err := parseRemaining(r.Header)
	if !stated {
		remaining = config.MaxTimeout
	}
	f, parseErr := parseForwardedCall(r.Header.Get(headerCall))
	if err != nil || parseErr != nil {
		setReadDeadline(w, r, now)
		o.writeResult(w, o.notRun(ReasonWrongOwner), "")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(remaining))
	defer cancel()
	setReadDeadline(w, r, now.Add(remaining))
	var body *replayBody
	if r.ContentLength != 0 {
		// The server adds trailers to its own request when the body ends.
		r = r.WithContext(ctx)
		body = newRequestBody(r, o.deps.Buffers, cancel)
		defer body.free()
		r.Body = body.newAttempt()
	}
	if needsFullDuplex(r) {
		enableFullDuplex(w)
		defer drainRequest(w, r)
	}
	response, result := o.handle(ctx, r, body, f, remaining)
	if result.Outcome != Answered {
		// The server reads the rest of a short body before it sends the response.
		setReadDeadline(w, r, o.deps.Now())
		o.writeResult(w, result, f.route)
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.passLoad(w.Header(), response.Header)
	if err := copyResponse(w, response, time.Time{}); err != nil {
		o.deps.Metrics.count(Result{Outcome: Unknown, Reason: ReasonConnectionBroken})
		o.deps.Logger.Info("Aborted response", "call", f.id, "route", f.route, "status", response.StatusCode,
			"length", response.ContentLength, "left", now.Add(remaining).Sub(o.deps.Now()), "cause", err.Error())
		// Aborting the connection shows the ingress that the response is
		// incomplete. Returning would make it look complete but shorter.
		panic(http.ErrAbortHandler)
	}
}

// handle sends one call to the upstream. body is what the request's body reads
// from, nil for a request without one. If the outcome is Answered, the response's body must be closed.
func (o *Owner) handle(ctx context.Context, r *http.Request, body *replayBody, f forwardedCall, remaining time.Duration) (*http.Response, Result) {
	now := o.deps.Now()
	c := &ownerCall{owner: o, request: r, body: body, forwarded: f, arrivedAt: now, deadline: now.Add(o.timeLimit.apply(now, remaining))}
	response, result := c.execute(ctx)
	o.deps.Metrics.count(result)
	if result.Outcome == Answered {
		o.setLoadHeaders(response.Header, f.route)
	}
	return response, result
}

// ownerCall is the state of one call at its owner.
type ownerCall struct {
	owner     *Owner
	request   *http.Request
	forwarded forwardedCall
	arrivedAt time.Time
	deadline  time.Time
	// process is the upstream process that the call is for; empty for any.
	process upstream.ID
	// admittedAt is when the call got its slot; zero until then.
	admittedAt time.Time
	// slownessAtStart is the slowness of the upstream's VM at admittedAt; 0 if
	// unknown.
	slownessAtStart float64
	// body is what the request's body reads from; nil for a request without one.
	body *replayBody
}

// execute checks the call, waits for a slot and sends the call to the upstream.
func (c *ownerCall) execute(ctx context.Context) (*http.Response, Result) {
	o := c.owner
	switch {
	case !c.deadline.After(c.arrivedAt):
		return nil, o.notRun(ReasonDeadline)
	case c.forwarded.owner != o.deps.Self().Instance():
		return nil, o.notRun(ReasonWrongOwner)
	case c.isKeyWithdrawn():
		return nil, o.notRun(ReasonKeyWithdrawn)
	}
	if result := c.claimIdentity(); result.Outcome != Answered {
		return nil, result
	}
	if result := c.checkElsewhere(); result.Outcome != Answered {
		return nil, result
	}
	ticket, result := c.awaitSlot(ctx)
	if result.Outcome != Answered {
		// Overload counts as a failure of the version, except with an upstream
		// that announces its slots. That number is exact, so a full queue says
		// only that there are many calls. During a planned stop, calls are also
		// refused for the stop's sake.
		if isOverload(result.Reason) && o.deps.Process == nil && !o.timeLimit.isSet() {
			c.recordUnanswered(true)
		}
		return nil, result
	}
	// The key may have been withdrawn, and the process may have stopped taking
	// calls, while this one waited.
	if c.isKeyWithdrawn() {
		o.deps.Gate.Release(o.deps.Now(), ticket, admission.NotRun)
		return nil, o.notRun(ReasonKeyWithdrawn)
	}
	if !c.resolveProcess() {
		o.deps.Gate.Release(o.deps.Now(), ticket, admission.NotRun)
		return nil, o.notRun(ReasonNoUpstream)
	}
	if result := c.checkCrashes(ctx); result.Outcome != Answered {
		o.deps.Gate.Release(o.deps.Now(), ticket, admission.NotRun)
		return nil, result
	}
	return c.sendToUpstream(ctx, ticket)
}

// workspaceWeight returns the part of the call's workspace in the slots: its rate.
// It is 0 if the workspace has none or this node doesn't know it yet.
func (c *ownerCall) workspaceWeight() float64 {
	w := c.forwarded.workspace
	if w.name == "" || c.owner.deps.Table == nil {
		return 0
	}
	table := c.owner.deps.Table()
	if table == nil {
		return 0
	}
	current, ok := table.Workspace(w.name)
	if !ok {
		return 0
	}
	return current.Rate
}

// isKeyWithdrawn reports whether the configuration in force is newer than that of
// the ingress, and its workspaces no longer include that of the call's key.
func (c *ownerCall) isKeyWithdrawn() bool {
	w := c.forwarded.workspace
	if w.key == (config.KeyHash{}) || c.owner.deps.Table == nil {
		return false
	}
	table := c.owner.deps.Table()
	if table == nil || table.Revision <= w.revision || !table.HasWorkspaces() {
		return false
	}
	current, ok := table.WorkspaceOf(w.key)
	return !ok || current.Name != w.name
}

// resolveProcess sets the process that the call is for. It returns false when
// no process takes calls.
func (c *ownerCall) resolveProcess() bool {
	process := c.owner.deps.Process
	if process == nil {
		return true
	}
	id, ok := process.Current(c.owner.deps.Now())
	c.process = id
	return ok
}

// isOverload reports whether a call was refused because the upstream is too
// slow or too busy. Other refusals, such as while draining or after the caller
// gave up, are no sign of a bad version.
func isOverload(reason Reason) bool {
	return reason == Reason(admission.ReasonQueueFull) || reason == Reason(admission.ReasonTooLate) || reason == Reason(admission.ReasonDisplaced)
}

// claimIdentity refuses a call that must not run twice if it has arrived before
// or can't be remembered. Otherwise it returns Answered.
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

// awaitSlot waits for a slot. If the outcome is Answered, the call holds a slot
// that must be released with the ticket.
func (c *ownerCall) awaitSlot(ctx context.Context) (*admission.Ticket, Result) {
	o := c.owner
	gate := o.deps.Gate
	ticket := gate.Acquire(c.arrivedAt, admission.Request{
		Class:         c.forwarded.class,
		Caller:        c.forwarded.caller,
		Deadline:      c.deadline,
		Workspace:     c.forwarded.workspace.name,
		WorkspaceRank: c.forwarded.workspace.rank,

		WorkspaceWeight: c.workspaceWeight(),
		Rank:            c.forwarded.rank,
		Route:           c.forwarded.route,
		UsefulUntil:     c.arrivedAt.Add(c.forwarded.usefulFor),
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

// admissionResult returns Answered if the ticket was admitted, or why it was
// not.
func (c *ownerCall) admissionResult(ticket *admission.Ticket) Result {
	if ticket.Reason() == "" {
		return Result{Outcome: Answered}
	}
	result := c.owner.notRun(Reason(ticket.Reason()))
	result.RetryAfter = ticket.RetryAfter()
	return result
}

// _maxRefusalBodyBytes bounds how much of the body of an upstream's refusal is
// read.
const _maxRefusalBodyBytes = 4 << 10

// sendToUpstream sends the call to the upstream and releases its slot when the
// response has ended.
func (c *ownerCall) sendToUpstream(ctx context.Context, ticket *admission.Ticket) (*http.Response, Result) {
	o := c.owner
	ending := admission.Completed
	c.admittedAt = o.deps.Now()
	c.slownessAtStart = o.deps.Load.Slowness(c.admittedAt)
	releaseSlot := sync.OnceFunc(func() { o.deps.Gate.Release(o.deps.Now(), ticket, ending) })
	var tracker writeTracker
	response, err := o.deps.Transport.RoundTrip(c.newUpstreamRequest(tracker.withTrace(ctx)))
	if err != nil {
		result := c.handleUpstreamFailure(ctx, &tracker, err)
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
	RecordReportedLoad(o.deps.Now(), o.deps.Load, o.deps.Dialect, response.Header)
	if result := c.classifyResponse(response); result.Outcome != Answered {
		// Reads the short body, so that the connection can be reused.
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
	if err := bufferResponse(response, o.deps.Buffers); err != nil {
		result := c.handleUpstreamFailure(ctx, &tracker, err)
		releaseSlot()
		return nil, result
	}
	if response.StatusCode < http.StatusInternalServerError {
		o.deps.Load.RecordRun(c.admittedAt.Add(took), c.forwarded.route, took, c.slownessAtStart)
	}
	c.recordObservation(took, response.StatusCode >= http.StatusInternalServerError)
	if _, buffered := response.Body.(*bufferedBody); buffered {
		releaseSlot()
		return response, Result{Outcome: Answered}
	}
	response.Body = &slotReleasingBody{ReadCloser: response.Body, release: func(isWhole bool) {
		if !isWhole {
			// How long the caller took to give up says nothing about the upstream.
			ending = admission.NotRun
		}
		releaseSlot()
	}}
	return response, Result{Outcome: Answered}
}

// handleUpstreamFailure records and logs a call that got no complete response
// from the upstream, and why, and returns its result.
func (c *ownerCall) handleUpstreamFailure(ctx context.Context, tracker *writeTracker, cause error) Result {
	o := c.owner
	result := classifyFailure(ctx, tracker)
	if result.Reason == ReasonConnectionBroken && c.upstreamEnded(ctx, tracker.process()) {
		result.Reason = ReasonUpstreamCrashed
		result.crash = upstreamCrash{process: crash.NewProcess(o.deps.Self().Instance(), tracker.process()), ranFor: o.deps.Now().Sub(c.admittedAt)}
	}
	if (result.Reason == ReasonUnreachable || result.Reason == ReasonUpstreamCrashed) && o.deps.Process != nil {
		o.deps.Process.ReportUnreachable(o.deps.Now(), c.process)
	}
	c.recordUnanswered(result.Reason != ReasonCanceled && result.Reason != ReasonInterrupted)
	o.deps.Logger.Info("Upstream did not respond", "call", c.forwarded.id, "process", c.process,
		"outcome", result.Outcome.String(), "reason", result.Reason, "ranFor", o.deps.Now().Sub(c.admittedAt), "cause", cause.Error())
	return result
}

// classifyResponse returns the result according to a response's headers.
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

// recordUnanswered records an observation of a call that got no complete
// response from the upstream.
func (c *ownerCall) recordUnanswered(failed bool) {
	c.recordObservation(c.owner.deps.Now().Sub(c.arrivedAt), failed)
}

// recordObservation passes an observation to the Observer.
func (c *ownerCall) recordObservation(took time.Duration, failed bool) {
	c.owner.deps.Observer.Observe(c.owner.deps.Now(), evidence.Observation{Route: c.forwarded.route, Failed: failed, Latency: took})
}

// notRun returns the result of a call that the owner did not run.
func (o *Owner) notRun(reason Reason) Result {
	return Result{Outcome: NotRun, Reason: reason}
}

// writeResult responds to another node with a result other than Answered to a
// call of the given route, always in NativeDialect.
func (o *Owner) writeResult(w http.ResponseWriter, result Result, route config.RouteName) {
	o.setLoadHeaders(w.Header(), route)
	if result.Reason == ReasonUpstreamCrashed {
		w.Header()[headerCrash] = []string{result.crash.String()}
	}
	if result.RetryAfter > 0 {
		w.Header()[headerRetryMillis] = []string{formatMillis(result.RetryAfter)}
	}
	result.write(w, NativeDialect{})
}

// loadHeader returns the value of headerLoad: the calls that run or wait, the
// slots, and the average milliseconds that a call takes, separated by spaces.
func (o *Owner) loadHeader() string {
	load := o.deps.Gate.Load()
	return strconv.Itoa(load.Running+load.Waiting) + " " + strconv.Itoa(load.Limit) + " " + formatMillis(load.AverageDuration)
}

// newUpstreamRequest returns the request for the upstream.
func (c *ownerCall) newUpstreamRequest(ctx context.Context) *http.Request {
	o := c.owner
	// The sender closes its body. drainRequest still has to read the request's.
	out := newOutgoingRequest(ctx, c.request, o.upstream, io.NopCloser(c.request.Body), o.deps.Dialect)
	callDepth, err := parseDepth(c.request.Header)
	if err != nil {
		// Unexpected: the depth comes from the forwarding node. Goes on with 0.
		o.deps.Logger.Info("Invalid call depth", "call", c.forwarded.id, "cause", err.Error())
	}
	c.setWorkspace(out.Header)
	o.deps.Dialect.SetUpstreamHeaders(out.Header, UpstreamHeaders{
		Remaining:     c.deadline.Sub(o.deps.Now()),
		Process:       c.process,
		SourceService: c.forwarded.sourceService,
		Depth:         callDepth,
	})
	return out
}

// setWorkspace tells the upstream the call's workspace. Where this node has
// workspaces, it removes what the caller sent also if the ingress, whose
// configuration may be older or which may run an earlier build, has passed it on.
func (c *ownerCall) setWorkspace(h http.Header) {
	dialect, name := c.owner.deps.Dialect, c.forwarded.workspace.name
	hasWorkspaces := name != ""
	if c.owner.deps.Table != nil {
		table := c.owner.deps.Table()
		hasWorkspaces = hasWorkspaces || table != nil && table.HasWorkspaces()
	}
	if hasWorkspaces {
		dialect.RemoveKey(h)
		dialect.SetWorkspace(h, name)
	}
}

// preventTransportRetry returns a body with which http.Transport doesn't send a
// request twice on its own. The transport retries requests without a body that
// have a safe method or an idempotency key; these get an empty body that it
// can't rewind.
func preventTransportRetry(r *http.Request, body io.ReadCloser) io.ReadCloser {
	if r.ContentLength != 0 {
		return body
	}
	if isSafeMethod(r.Method) || hasIdempotencyKey(r.Header) {
		return io.NopCloser(strings.NewReader(""))
	}
	return http.NoBody
}

// hasIdempotencyKey reports whether a request has one of the headers by which
// http.Transport takes it as idempotent.
func hasIdempotencyKey(h http.Header) bool {
	return h.Get("Idempotency-Key") != "" || h.Get("X-Idempotency-Key") != ""
}
