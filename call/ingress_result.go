package call

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/routing"
)

// classifyFailure returns the result of an attempt that got no response.
func classifyFailure(ctx context.Context, tracker *writeTracker) Result {
	interrupted := errors.Is(context.Cause(ctx), ErrInterrupted)
	switch {
	case tracker.nothingSent() && interrupted:
		return Result{Outcome: NotRun, Reason: Reason(admission.ReasonDraining)}
	case interrupted:
		return Result{Outcome: Unknown, Reason: ReasonInterrupted}
	case tracker.nothingSent() && ctx.Err() != nil:
		return Result{Outcome: NotRun, Reason: ReasonDeadline}
	case tracker.nothingSent():
		return Result{Outcome: NotRun, Reason: ReasonUnreachable}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Outcome: Unknown, Reason: ReasonDeadline}
	case ctx.Err() != nil:
		return Result{Outcome: Unknown, Reason: ReasonCanceled}
	default:
		return Result{Outcome: Unknown, Reason: ReasonConnectionBroken}
	}
}

// parseRefusal returns the result that an owner sent in place of an upstream's
// response. For an upstream's response it returns Answered and false. Owners
// always delimit responses; of one that isn't, the end may be missing.
func parseRefusal(response *http.Response) (Result, bool) {
	result := Result{Outcome: Answered}
	switch response.Header.Get(HeaderOutcome) {
	case NotRun.String():
		result.Outcome = NotRun
	case Unknown.String():
		result.Outcome = Unknown
	default:
		if !isSelfDelimiting(response) {
			return Result{Outcome: Unknown, Reason: ReasonCloseDelimited}, true
		}
		return result, false
	}
	result.Reason = Reason(response.Header.Get(HeaderReason))
	if text := response.Header.Get(headerRetryMillis); text != "" {
		if after, err := ParseMillis(text); err == nil {
			result.RetryAfter = after
		}
	}
	if text := response.Header.Get(headerCrash); text != "" {
		if reported, err := parseUpstreamCrash(text); err == nil {
			result.crash = reported
		}
	}
	return result, true
}

// updateEndpoint records what a response or a result says about the upstream.
// response is nil if there is none.
func (c *ingressCall) updateEndpoint(endpoint *routing.Endpoint, response *http.Response, result Result) {
	now := c.ingress.deps.Now()
	if response != nil {
		if load, ok := parseLoad(response.Header.Get(headerLoad)); ok {
			endpoint.RecordLoad(now, load)
		}
	}
	switch {
	case result.Outcome == Answered && response.StatusCode < http.StatusInternalServerError:
		endpoint.RecordSuccess()
	case result.Outcome == NotRun && (result.Reason == Reason(admission.ReasonTooLate) || result.Reason == Reason(admission.ReasonQueueFull)),
		result.Reason == ReasonCanceled, result.Reason == Reason(admission.ReasonAbandoned), result.Reason == ReasonCrashesUpstreams, result.Reason == ReasonKeyWithdrawn:
		// These show only that the upstream is loaded, that the caller gave up, what
		// the call itself does or that its key was withdrawn.
	case result.Outcome == NotRun && result.Reason != ReasonUpstreamRefused:
		// The owner has no upstream that it can send the call to.
		endpoint.RecordConnectFailure(now)
	default:
		endpoint.RecordFailure(now)
	}
}

// parseLoad parses the value of headerLoad; see Owner.loadHeader. It returns
// false when the value is malformed.
func parseLoad(text string) (routing.Load, bool) {
	const fields = 3
	parts := strings.Split(text, " ")
	if len(parts) != fields {
		return routing.Load{}, false
	}
	calls, err := strconv.Atoi(parts[0])
	if err != nil || calls < 0 {
		return routing.Load{}, false
	}
	slots, err := strconv.Atoi(parts[1])
	if err != nil || slots < 0 {
		return routing.Load{}, false
	}
	averageDuration, err := ParseMillis(parts[2])
	return routing.Load{Calls: calls, Slots: slots, AverageDuration: averageDuration}, err == nil
}
