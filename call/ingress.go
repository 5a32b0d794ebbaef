package call

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/routing"
)

const (
	// _defaultMaxAttempts bounds the upstreams that a call is sent to, where its
	// route sets no bound.
	_defaultMaxAttempts = 3
	// _maxRefusals bounds the attempts of a call that no upstream has received.
	_maxRefusals = 2
	// _noObjective is the latency objective of a route that states none. Its
	// responses are useful until the deadline.
	_noObjective = time.Duration(0)
)

// Routes provides the routes in force.
type Routes interface {
	// Table returns nil while the node has no configuration.
	Table() *routing.Table
	// Versions returns the versions of the service that the target's next call
	// may go to: first, and second for when no upstream of first takes calls.
	Versions(t *routing.Target, s config.Service) (first, second config.VersionSet)
}

// Endpoints chooses among the upstreams.
type Endpoints interface {
	// Choose returns the endpoint for a call; false if there is none.
	Choose(now time.Time, q routing.Query) (*routing.Endpoint, bool)
}

// Allotments limits how many calls the workspaces make. It is safe for concurrent
// use.
type Allotments interface {
	// Take takes one call from a workspace's allotment. If none is left it
	// returns false, and when a call is expected to be let in.
	Take(now time.Time, name config.WorkspaceName) (ok bool, retryAfter time.Duration)
	// GiveBack returns a call that has not run.
	GiveBack(now time.Time, name config.WorkspaceName)
}

// IngressDependencies holds what NewIngress needs.
type IngressDependencies struct {
	Routes    Routes
	Endpoints Endpoints
	// Transport forwards calls to other nodes; see NewForwardTransport.
	Transport http.RoundTripper
	// LocalOwner is the owner on this node, to which calls need no network hop.
	// It is nil on a node without an upstream.
	LocalOwner *Owner
	// Self returns this node's member record.
	Self func() membership.Member
	// SourceService is the service on this VM, whose calls enter at this node;
	// empty if there is none.
	SourceService config.ServiceName
	Dialect       Dialect
	Budgets       *retry.Budgets[config.ServiceName]
	// NodeCount returns how many nodes share the retry budgets.
	NodeCount func() int
	// Crashes decides on calls that have crashed upstreams.
	Crashes *crash.Table
	// CrashesChanged is called after a change of Crashes that other nodes need.
	CrashesChanged func()
	// Buffers bounds the bodies that are kept in memory; nil for no bound.
	Buffers *BufferBudget
	// Allotments is nil if the calls of workspaces aren't limited.
	Allotments Allotments
	// MaxForwarded bounds the calls that are forwarded to other nodes at the same
	// time, each of which takes a connection; 0 for no bound.
	MaxForwarded int
	// ShareSlotsFairly shares the slots of an upstream fairly among the IP
	// addresses of the callers.
	ShareSlotsFairly bool
	Metrics          *Metrics
	Logger           klog.Logger
	Now              func() time.Time
}

// Ingress accepts calls from callers and forwards each to the owner of the
// upstream that it chooses.
type Ingress struct {
	deps IngressDependencies
	// inFlight counts the accepted calls that have not ended.
	inFlight inFlightCalls
	// forwarded counts the calls that are forwarded now.
	forwarded atomic.Int64
	// keepAlivesDisabled is set by DisableKeepAlives.
	keepAlivesDisabled atomic.Bool
	// stopped is set by StopAccepting.
	stopped atomic.Bool
	// timeLimit is set by LimitTime.
	timeLimit timeLimit
}

var _ http.Handler = (*Ingress)(nil)

// NewIngress returns an ingress that accepts calls.
func NewIngress(d IngressDependencies) *Ingress {
	return &Ingress{deps: d}
}

// DisableKeepAlives closes each HTTP/1 connection after its next response, so
// that callers connect to other nodes.
func (i *Ingress) DisableKeepAlives() {
	i.keepAlivesDisabled.Store(true)
}

// LimitTime bounds the time of the calls accepted from now on to the end of a
// planned stop, so that they are refused if it is too short for them.
func (i *Ingress) LimitTime(end time.Time) {
	i.timeLimit.set(end)
}

// StopAccepting refuses all further calls as not run. Accepted calls continue.
func (i *Ingress) StopAccepting() {
	i.stopped.Store(true)
}

// Wait blocks until all accepted calls have ended.
func (i *Ingress) Wait() {
	i.inFlight.wait()
}

// beginForward reports whether another call may be forwarded, and counts it until
// the returned function is called.
func (i *Ingress) beginForward() (end func(), ok bool) {
	if n := i.forwarded.Add(1); i.deps.MaxForwarded > 0 && n > int64(i.deps.MaxForwarded) {
		i.forwarded.Add(-1)
		return nil, false
	}
	return sync.OnceFunc(func() { i.forwarded.Add(-1) }), true
}

// IsIdempotent reports whether the call of a request may run more than once, by
// the routes in force. It returns false for a call without a route.
func (i *Ingress) IsIdempotent(r *http.Request) bool {
	table := i.deps.Routes.Table()
	if table == nil {
		return false
	}
	target, ok := table.Match(r.Host, r.URL.Path)
	return ok && isIdempotent(target.Route, r.Method)
}

// ServeHTTP handles one call from a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.keepAlivesDisabled.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	// Counts the call first, so that Wait misses none that was not refused.
	i.inFlight.begin()
	defer i.inFlight.end()
	if i.stopped.Load() {
		i.refuse(w, r, Result{Outcome: NotRun, Reason: Reason(admission.ReasonDraining)})
		return
	}
	now := i.deps.Now()
	a, reason := i.accept(now, r)
	if reason != "" {
		i.refuse(w, r, Result{Outcome: NotRun, Reason: reason})
		return
	}
	if ok, retryAfter := i.takeAllotment(now, a.workspace); !ok {
		// Callers honour no longer delay than retryAfterHint gives at most.
		longest := retryAfterHint(a.callerRemaining, a.callerRemaining, rand.Float64())
		i.refuse(w, r, Result{Outcome: NotRun, Reason: ReasonAllotment, RetryAfter: min(retryAfter, longest)})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(a.remaining))
	defer cancel()
	if a.maxBodyBytes > 0 && r.ContentLength < 0 {
		r.Body = newLimitedBody(r.Body, a.maxBodyBytes)
	}
	if r.ContentLength != 0 {
		// The server adds trailers to its own request when the body ends.
		r = r.WithContext(ctx)
	}
	c := i.newCall(now, w, r, a)
	// Set before the body is read: once that has ended, the server reads on to
	// notice that the caller leaves.
	setReadDeadline(w, r, c.deadline)
	c.body = newRequestBody(r, i.deps.Buffers, cancel)
	defer c.body.free()
	defer endReadsWith(ctx, w, r, c.body)()
	if needsFullDuplex(r) {
		enableFullDuplex(w)
		defer drainRequest(w, r)
	}
	i.deps.Budgets.For(c.service.Name).RecordCall(now)
	if result := c.serve(ctx); result.Reason == ReasonDeadline {
		// The owner is told whole milliseconds, so its deadline passes up to 1 ms
		// earlier. Ends the reads of the body, for whose end the server would wait.
		cancel()
	}
}

// newCall returns the state of an accepted call, without its body. A call without a usable ID
// gets a random one; a space or tab in the ID would break the value of
// headerCall.
func (i *Ingress) newCall(now time.Time, w http.ResponseWriter, r *http.Request, a acceptedCall) *ingressCall {
	service := a.target.NextService()
	id := i.deps.Dialect.CallID(r.Header)
	if id == "" || strings.ContainsAny(id, " \t") {
		id = newCallID()
	}
	first, second := i.deps.Routes.Versions(a.target, service)
	return &ingressCall{
		ingress:         i,
		writer:          w,
		request:         r,
		target:          a.target,
		service:         service,
		id:              id,
		receivedAt:      now,
		deadline:        now.Add(a.remaining),
		depth:           a.depth,
		versions:        [2]config.VersionSet{first, second},
		waited:          a.waited,
		callerRemaining: a.callerRemaining,
		workspace:       a.workspace,
		hasWorkspaces:   a.hasWorkspaces,
	}
}

// acceptedCall is what accept found out about a call.
type acceptedCall struct {
	target *routing.Target
	// remaining is the time left for the call: the least of the caller's and the
	// route's timeout and what a planned stop leaves.
	remaining time.Duration
	// callerRemaining is how long the caller still waits for the response; the
	// route's timeout if the caller didn't say.
	callerRemaining time.Duration
	// waited is how long the caller has waited in earlier attempts, as estimated
	// by Target.EstimateElapsed.
	waited time.Duration
	// depth is the number of services that the call has passed through.
	depth int
	// workspace is that of the call's key; zero for a call without one.
	workspace workspaceRef
	// hasWorkspaces is set if the configuration has workspaces.
	hasWorkspaces bool
	// maxBodyBytes bounds a body without a length; 0 for no bound.
	maxBodyBytes int64
}

// exceededLimit returns which of the configured limits a request exceeds; empty
// if none.
func exceededLimit(l config.Limits, r *http.Request) Reason {
	// A header line has a colon, a space, CR and LF beside its name and value.
	const perLine = 4
	headers := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			headers += int64(len(name) + len(value) + perLine)
		}
	}
	switch {
	case l.HeaderBytes > 0 && headers > l.HeaderBytes:
		return ReasonHeadersTooLarge
	case l.BodyBytes > 0 && r.ContentLength > l.BodyBytes:
		return ReasonBodyTooLarge
	default:
		return ""
	}
}

// accept matches a call to a route and checks it. The reason is empty if the
// call is accepted.
func (i *Ingress) accept(now time.Time, r *http.Request) (acceptedCall, Reason) {
	table := i.deps.Routes.Table()
	if table == nil {
		return acceptedCall{}, ReasonNoConfig
	}
	target, ok := table.Match(r.Host, r.URL.Path)
	var workspace workspaceRef
	if table.HasWorkspaces() {
		if !ok {
			return acceptedCall{}, ReasonNoRoute
		}
		var reason Reason
		if workspace, reason = i.identify(table, target.Route, r.Header); reason != "" {
			return acceptedCall{}, reason
		}
	}
	if isUpgrade(r) {
		return acceptedCall{}, ReasonUpgradeUnsupported
	}
	if reason := exceededLimit(table.Limits, r); reason != "" {
		return acceptedCall{}, reason
	}
	if !ok {
		return acceptedCall{}, ReasonNoRoute
	}
	remaining, stated, err := i.deps.Dialect.Remaining(r.Header)
	if err != nil {
		return acceptedCall{}, ReasonBadRequest
	}
	if !stated {
		remaining = target.Route.Timeout
	}
	callerRemaining := remaining
	waited := target.EstimateElapsed(callerRemaining)
	remaining = i.timeLimit.apply(now, min(remaining, target.Route.Timeout))
	if remaining <= 0 {
		return acceptedCall{}, ReasonDeadline
	}
	depth, err := parseDepth(r.Header)
	if err != nil {
		return acceptedCall{}, ReasonBadRequest
	}
	if depth >= MaxDepth {
		return acceptedCall{}, ReasonTooDeep
	}
	return acceptedCall{
		target: target, remaining: remaining, callerRemaining: callerRemaining, waited: waited, depth: depth,
		workspace: workspace, hasWorkspaces: table.HasWorkspaces(), maxBodyBytes: table.Limits.BodyBytes,
	}, ""
}

// identify finds the workspace of a call by its key. The reason is empty if the
// call may go on: it has a known key, or its route is public.
func (i *Ingress) identify(table *routing.Table, route *config.Route, h http.Header) (workspaceRef, Reason) {
	key := i.deps.Dialect.Key(h)
	hash := config.HashKey(key)
	workspace, ok := table.WorkspaceOf(hash)
	switch {
	case ok && route.Public:
		return workspaceRef{name: workspace.Name, rank: workspace.Rank, revision: table.Revision}, ""
	case ok:
		return workspaceRef{name: workspace.Name, rank: workspace.Rank, revision: table.Revision, key: hash}, ""
	case route.Public:
		return workspaceRef{}, ""
	case key == "":
		return workspaceRef{}, ReasonMissingKey
	default:
		return workspaceRef{}, ReasonUnknownKey
	}
}

// takeAllotment takes one call from the allotment of the call's workspace, if it
// has one. It returns false, and when to retry, if none is left.
func (i *Ingress) takeAllotment(now time.Time, w workspaceRef) (bool, time.Duration) {
	if i.deps.Allotments == nil || w.name == "" {
		return true, 0
	}
	return i.deps.Allotments.Take(now, w.name)
}

// giveBack returns to its workspace's allotment a call that has not run.
func (i *Ingress) giveBack(w workspaceRef) {
	if i.deps.Allotments != nil && w.name != "" {
		i.deps.Allotments.GiveBack(i.deps.Now(), w.name)
	}
}

// refuse responds to a call that was not run.
func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, result Result) {
	// The server reads the rest of a short body before it sends the response.
	setReadDeadline(w, r, i.deps.Now())
	i.deps.Metrics.count(result)
	i.deps.Logger.Info("Refused call", "call", i.deps.Dialect.CallID(r.Header), "host", r.Host, "path", r.URL.Path, "reason", result.Reason)
	result.write(w, i.deps.Dialect)
}

// newCallID returns a random call ID.
func newCallID() string {
	var id [16]byte
	for n := range 2 {
		word := rand.Uint64()
		for k := range 8 {
			id[8*n+k] = byte(word >> (8 * k))
		}
	}
	return hex.EncodeToString(id[:])
}
