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
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/routing"
)

const (
	// _maxAttempts is how many upstreams a call is sent to at most where its
	// route does not say.
	_defaultMaxAttempts = 3
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
	// LocalOwner is the owner on this node, and Self its record; calls to it take
	// no hop. LocalOwner is nil on a node without an upstream.
	LocalOwner *Owner
	Self       func() membership.Member
	// SourceService is the service on this VM, where its calls begin.
	SourceService config.ServiceName
	Dialect       Dialect
	Budgets       *retry.Budgets[config.ServiceName]
	// NodeCount returns how many nodes share the budgets.
	NodeCount func() int
	// ShareSlotsFairly shares the slots of an upstream between the addresses that
	// calls come from.
	ShareSlotsFairly bool
	Metrics          *Metrics
	Logger           klog.Logger
	Now              func() time.Time
}

// Ingress takes calls from callers and sends each to the node that owns the
// chosen upstream.
type Ingress struct {
	deps IngressDependencies
	// inFlight counts the calls that have not ended.
	inFlight sync.WaitGroup
	// closing is set once callers are to take their connections elsewhere.
	keepAlivesDisabled atomic.Bool
	// stopped is set once no further call is taken.
	stopped atomic.Bool
}

var _ http.Handler = (*Ingress)(nil)

// NewIngress returns an ingress.
func NewIngress(d IngressDependencies) *Ingress {
	return &Ingress{deps: d}
}

// DisableKeepAlives makes each connection end after its next answer.
func (i *Ingress) DisableKeepAlives() {
	i.keepAlivesDisabled.Store(true)
}

// StopAccepting refuses all further calls as not run. Those that were taken go on.
func (i *Ingress) StopAccepting() {
	i.stopped.Store(true)
}

// Wait returns when all calls have ended.
func (i *Ingress) Wait() {
	i.inFlight.Wait()
}

// ServeHTTP carries one call from a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i.keepAlivesDisabled.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	if i.stopped.Load() {
		i.refuse(w, r, Reason(admission.ReasonDraining))
		return
	}
	i.inFlight.Add(1)
	defer i.inFlight.Done()
	now := i.deps.Now()
	a, reason := i.accept(r)
	if reason != "" {
		i.refuse(w, r, reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), now.Add(a.remaining))
	defer cancel()
	if a.maxBodyBytes > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, a.maxBodyBytes)
	}
	c := i.newCall(now, w, r, a)
	setReadDeadline(w, r, c.deadline)
	if needsFullDuplex(r) {
		enableFullDuplex(w)
		defer drainRequest(w, r)
	}
	i.deps.Budgets.For(c.service.Name).RecordCall(now)
	c.serve(ctx)
}

func (i *Ingress) newCall(now time.Time, w http.ResponseWriter, r *http.Request, a acceptedCall) *ingressCall {
	service := a.target.NextService()
	id := i.deps.Dialect.CallID(r.Header)
	if id == "" || strings.ContainsAny(id, " \t") {
		id = newCallID()
	}
	first, second := i.deps.Routes.Versions(a.target, service)
	return &ingressCall{
		ingress:    i,
		writer:     w,
		request:    r,
		target:     a.target,
		service:    service,
		id:         id,
		receivedAt: now,
		deadline:   now.Add(a.remaining),
		depth:      a.depth,
		body:       newReplayBody(r.Body),
		versions:   [2]config.VersionSet{first, second},
		waited:     a.waited,
		remaining:  a.callerRemaining,
	}
}

// accepted is a call that may go on.
type acceptedCall struct {
	target *routing.Target
	// left is the time left for the call.
	remaining time.Duration
	// callerLeft is how long the caller waits, used how long it has waited in
	// earlier attempts.
	callerRemaining time.Duration
	waited          time.Duration
	// depth is how many services the call has passed through.
	depth int
	// bodyMost bounds a body that comes without a length; 0 for no bound.
	maxBodyBytes int64
}

// overLimits returns which of the configuration's bounds a call breaks, empty
// when it keeps them.
func exceededLimit(l config.Limits, r *http.Request) Reason {
	// Each header line has a colon, a space and a line end beside its texts.
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

// accept checks a call. The reason is empty when it may go on.
func (i *Ingress) accept(r *http.Request) (acceptedCall, Reason) {
	table := i.deps.Routes.Table()
	if table == nil {
		return acceptedCall{}, ReasonNoConfig
	}
	if isUpgrade(r) {
		return acceptedCall{}, ReasonUpgradeUnsupported
	}
	if reason := exceededLimit(table.Limits, r); reason != "" {
		return acceptedCall{}, reason
	}
	target, ok := table.Match(r.Host, r.URL.Path)
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
	remaining = min(remaining, target.Route.Timeout)
	if remaining <= 0 {
		return acceptedCall{}, ReasonDeadline
	}
	n, err := parseDepth(r.Header)
	if err != nil {
		return acceptedCall{}, ReasonBadRequest
	}
	if n >= MaxDepth {
		return acceptedCall{}, ReasonTooDeep
	}
	return acceptedCall{target: target, remaining: remaining, callerRemaining: callerRemaining, waited: waited, depth: n, maxBodyBytes: table.Limits.BodyBytes}, ""
}

func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, reason Reason) {
	result := Result{Outcome: NotRun, Reason: reason}
	i.deps.Metrics.count(result)
	i.deps.Logger.Info("Refused call", "call", i.deps.Dialect.CallID(r.Header), "host", r.Host, "path", r.URL.Path, "reason", reason)
	result.write(w, i.deps.Dialect)
}

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
