// Package call proxies calls. A caller sends a call to any node, the ingress.
// The ingress chooses an upstream and forwards the call to the node of that
// upstream, its owner, which sends it to the upstream.
package call

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome tells whether a call was run.
type Outcome int

// The possible outcomes of a call. There are no others.
const (
	// Answered means that the upstream sent a complete response. Within this
	// package it is also the result of a check that the call has passed.
	Answered Outcome = iota + 1
	// NotRun means that the upstream certainly did not run the call. Any such
	// call may be retried.
	NotRun
	// Unknown means that the call was sent and no complete response came back.
	// Only an idempotent call may be retried.
	Unknown
)

// String returns the outcome as written in HeaderOutcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason tells why the outcome of a call is not Answered.
type Reason string

// The reasons of this package. Those of package admission are used as well.
const (
	// ReasonNoConfig means that the node has no configuration yet.
	ReasonNoConfig Reason = "no-config"
	// ReasonNoRoute means that no route matches the call.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoUpstream means that no upstream of the chosen versions takes calls.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUnreachable means that no byte of the call could be sent, mostly
	// because no connection could be made.
	ReasonUnreachable Reason = "unreachable"
	// ReasonTooManyForwarded means that the ingress forwards as many calls as it may
	// have connections for.
	ReasonTooManyForwarded Reason = "too-many-forwarded"
	// ReasonWrongOwner means that the call was forwarded to another node than
	// this one, or to this one before it restarted, or that the headers of the
	// forwarding node are malformed.
	ReasonWrongOwner Reason = "wrong-owner"
	// ReasonDeadline means that the call's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonTooDeep means that the call has passed through MaxDepth services.
	ReasonTooDeep Reason = "too-deep"
	// ReasonBadRequest means that one of the request's headers for Lentilferry is
	// malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonMissingKey means that the call has no workspace's key and its route
	// isn't public.
	ReasonMissingKey Reason = "missing-key"
	// ReasonUnknownKey means that the call's key is that of no workspace and its
	// route isn't public.
	ReasonUnknownKey Reason = "unknown-key"
	// ReasonKeyWithdrawn means that the call's key was withdrawn while the call
	// waited at the owner.
	ReasonKeyWithdrawn Reason = "key-withdrawn"
	// ReasonAllotment means that the call's workspace has used up its allotment.
	ReasonAllotment Reason = "allotment"
	// ReasonHeadersTooLarge means that the request's headers exceed the
	// configured limit.
	ReasonHeadersTooLarge Reason = "headers-too-large"
	// ReasonBodyTooLarge means that the request's body exceeds the configured
	// limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonUpgradeUnsupported means that the request asks to change the
	// protocol.
	ReasonUpgradeUnsupported Reason = "upgrade-not-carried"
	// ReasonDuplicate means that the owner has received the same attempt before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonIdentityRecordFull means that the owner can't remember further calls
	// that must not run twice.
	ReasonIdentityRecordFull Reason = "identity-record-full"
	// ReasonConnectionBroken means that the connection broke after the call was
	// sent.
	ReasonConnectionBroken Reason = "broken"
	// ReasonUpstreamCrashed means that the upstream's process ended after the call
	// was sent to it.
	ReasonUpstreamCrashed Reason = "upstream-crashed"
	// ReasonCrashesUpstreams means that the call was refused because it has crashed
	// each upstream that ran it; see package crash.
	ReasonCrashesUpstreams Reason = "crashes-upstreams"
	// ReasonCloseDelimited means that the response ends with its connection, so
	// that an incomplete one could not be detected.
	ReasonCloseDelimited Reason = "answer-without-length"
	// ReasonUpstreamRefused means that the upstream itself said that it did not
	// run the call.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonElsewhere means that a call would take much longer at this upstream
	// than its ingress assumed, which may choose another.
	ReasonElsewhere Reason = "elsewhere"
	// ReasonCanceled means that the caller closed its connection.
	ReasonCanceled Reason = "canceled"
	// ReasonInterrupted means that a node had to stop before the call had ended.
	ReasonInterrupted Reason = "interrupted"
)

// ErrInterrupted is the cause with which a node that has to stop cancels the
// contexts of the calls in flight.
var ErrInterrupted = errors.New("the node has to stop")

// Headers of requests and responses.
const (
	// HeaderOutcome is the Outcome, set on each response that is not an
	// upstream's.
	HeaderOutcome = "Lentilferry-Outcome"
	// HeaderReason is the Reason, set together with HeaderOutcome.
	HeaderReason = "Lentilferry-Reason"
	// HeaderRemaining is the time left for a call in milliseconds. Callers may
	// set it; an upstream passes it on in the calls that it makes.
	HeaderRemaining = "Lentilferry-Remaining"
	// HeaderDepth is the number of services that a call has passed through. An
	// upstream passes it on in the calls that it makes.
	HeaderDepth = "Lentilferry-Depth"
	// HeaderWorkspace is the name of the call's workspace, in requests to
	// upstreams.
	HeaderWorkspace = "Lentilferry-Workspace"

	// headerPrefix begins the name of each header of Lentilferry's own.
	headerPrefix = "Lentilferry-"
	// headerCall marks a call that a node has forwarded; see forwardedCall.
	headerCall = "Lentilferry-Call"
	// headerLoad is an upstream's load as its owner sees it; see
	// Owner.loadHeader.
	headerLoad = "Lentilferry-Load"
	// headerReportedLoad is the load that the upstream itself reports; see
	// Owner.reportedLoadHeader. It is a header of its own because nodes of earlier
	// builds ignore a headerLoad with further fields.
	headerReportedLoad = "Lentilferry-Reported-Load"
	// headerAssumedTime is how long an ingress expects a call to wait for a slot and
	// to run, in milliseconds. It is set if the owner may refuse the call with
	// ReasonElsewhere.
	headerAssumedTime = "Lentilferry-Assumed-Time"
	// headerCrash tells of the process that ended; see upstreamCrash.
	headerCrash = "Lentilferry-Crash"
	// headerRetryMillis is the time until the owner expects to have room for a
	// call that it refused, in milliseconds.
	headerRetryMillis = "Lentilferry-Retry-Millis"
)

// MaxDepth bounds the services that a call may pass through, to end call loops.
const MaxDepth = 9

// Result is the result of a call or of one attempt.
type Result struct {
	Outcome Outcome
	// Reason is empty if the outcome is Answered.
	Reason Reason
	// RetryAfter is the delay after which a call that was not run is worth
	// retrying; 0 if unknown.
	RetryAfter time.Duration
	// crash is set if the reason is ReasonUpstreamCrashed.
	crash upstreamCrash
}

// DefaultRetryAfter is the retry delay given to callers where no better one is
// known.
const DefaultRetryAfter = time.Second

// reachedUpstream reports whether the call was sent to an upstream.
func (r Result) reachedUpstream() bool {
	return r.Outcome != NotRun || r.Reason == ReasonUpstreamRefused
}

// IsUnauthorized reports whether the call was refused for want of a workspace's
// key.
func (r Result) IsUnauthorized() bool {
	return r.Reason == ReasonMissingKey || r.Reason == ReasonUnknownKey
}

// write writes a result other than Answered as the response, with its outcome
// and reason as the body.
func (r Result) write(w http.ResponseWriter, dialect Dialect) {
	h := w.Header()
	if r.RetryAfter == 0 {
		r.RetryAfter = DefaultRetryAfter
	}
	dialect.SetResult(h, r)
	text := r.Outcome.String() + ": " + string(r.Reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status())
	_, _ = w.Write([]byte(text))
}

// status returns the HTTP status for a result other than Answered.
func (r Result) status() int {
	switch r.Reason {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonMissingKey, ReasonUnknownKey:
		return http.StatusUnauthorized
	case ReasonAllotment:
		return http.StatusTooManyRequests
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonHeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonTooDeep:
		return http.StatusLoopDetected
	case ReasonUpgradeUnsupported:
		return http.StatusNotImplemented
	case ReasonDeadline:
		if r.Outcome == NotRun {
			// 503 promises that the call was not run; 504 would not.
			return http.StatusServiceUnavailable
		}
		return http.StatusGatewayTimeout
	default:
		if r.Outcome == Unknown {
			return http.StatusBadGateway
		}
		return http.StatusServiceUnavailable
	}
}
