// Package call carries calls: from the caller to any node, from there to the
// node that owns the chosen upstream, and to the upstream.
package call

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome tells what became of a call.
type Outcome int

// The outcomes of a call. There are no others.
const (
	// Answered means that the upstream gave a whole answer.
	Answered Outcome = iota + 1
	// NotRun means that the call certainly did not reach the upstream's
	// handler. Any call may be sent again.
	NotRun
	// Unknown means that the call was sent and no whole answer came. Only an
	// idempotent call may be sent again.
	Unknown
)

// String returns the outcome as it stands in HeaderOutcome.
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

// Reason tells why a call was not answered.
type Reason string

// The reasons for calls that were not answered, beside those of admission.
const (
	// ReasonNoConfig means that the node holds no configuration yet.
	ReasonNoConfig Reason = "no-config"
	// ReasonNoRoute means that no route matches the call.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoUpstream means that no upstream of the version takes work.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonUnreachable means that no connection could be made.
	ReasonUnreachable Reason = "unreachable"
	// ReasonWrongOwner means that the node is not the one the call was for,
	// or has restarted since.
	ReasonWrongOwner Reason = "wrong-owner"
	// ReasonDeadline means that the call's time is over.
	ReasonDeadline Reason = "deadline"
	// ReasonTooDeep means that the call passed through too many services.
	ReasonTooDeep Reason = "too-deep"
	// ReasonBadRequest means that the call can't be carried as it is.
	ReasonBadRequest Reason = "bad-request"
	// ReasonHeadersTooLarge means that the call's headers are over the configuration's
	// bound, and ReasonBody that its body is.
	ReasonHeadersTooLarge Reason = "headers-too-large"
	ReasonBodyTooLarge    Reason = "body-too-large"
	// ReasonUpgradeUnsupported means that the call asks to change the protocol.
	ReasonUpgradeUnsupported Reason = "upgrade-not-carried"
	// ReasonDuplicate means that the call was received before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonIdentityRecordFull means that the record of identities has no room.
	ReasonIdentityRecordFull Reason = "identity-record-full"
	// ReasonConnectionBroken means that the connection broke after the call was sent.
	ReasonConnectionBroken Reason = "broken"
	// ReasonCloseDelimited means that the end of the answer can't be told.
	ReasonCloseDelimited Reason = "answer-without-length"
	// ReasonUpstreamRefused means that the upstream itself said not run.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonCanceled means that the caller went away.
	ReasonCanceled Reason = "canceled"
)

// Headers of calls and answers.
const (
	// HeaderOutcome stands on each answer that is not the upstream's.
	HeaderOutcome = "Lentilferry-Outcome"
	// HeaderReason says why, beside HeaderOutcome.
	HeaderReason = "Lentilferry-Reason"
	// HeaderRemaining is the time left for a call, in milliseconds. A caller
	// may set it; an upstream passes it on in the calls that it makes.
	HeaderRemaining = "Lentilferry-Remaining"
	// HeaderDepth is how many services a call has passed through. An upstream
	// passes it on in the calls that it makes.
	HeaderDepth = "Lentilferry-Depth"

	headerPrefix = "Lentilferry-"
	// headerCall marks a call that a node has forwarded; see forwarded.
	headerCall = "Lentilferry-Call"
	// headerLoad is an upstream's load as its owner sees it.
	headerLoad = "Lentilferry-Load"
	// headerRetryMillis is when an owner would take a call that it refused.
	headerRetryMillis = "Lentilferry-Retry-Millis"
)

// MaxDepth is how many services a call may pass through.
const MaxDepth = 9

// Result is an outcome with its reason.
type Result struct {
	Outcome Outcome
	// Reason is empty for an answered call.
	Reason Reason
	// RetryAfter is when a call that was not run is worth sending again; 0
	// when that is not known.
	RetryAfter time.Duration
}

// DefaultRetryAfter is the hint given with a refusal of which nothing better
// is known.
const DefaultRetryAfter = time.Second

// reachedUpstream reports whether the call was sent to an upstream.
func (r Result) reachedUpstream() bool {
	return r.Outcome != NotRun || r.Reason == ReasonUpstreamRefused
}

// write sends a verdict other than Answered as the answer.
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

// status returns the HTTP status for a verdict that is not Answered.
func (r Result) status() int {
	switch r.Reason {
	case ReasonNoRoute:
		return http.StatusNotFound
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
			// A status that promises that the call was not run.
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
