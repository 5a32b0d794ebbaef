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

// failure returns the verdict on a try that got no answer.
func failure(ctx context.Context, track *tracker) Verdict {
	switch {
	case track.nothingSent() && ctx.Err() != nil:
		return Verdict{Outcome: NotRun, Reason: ReasonDeadline}
	case track.nothingSent():
		return Verdict{Outcome: NotRun, Reason: ReasonUnreachable}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Verdict{Outcome: Unknown, Reason: ReasonDeadline}
	case ctx.Err() != nil:
		return Verdict{Outcome: Unknown, Reason: ReasonCanceled}
	default:
		return Verdict{Outcome: Unknown, Reason: ReasonBroken}
	}
}

// refused returns the verdict that an owner gave in place of an answer. It
// returns false, and Answered, for an answer.
func refused(response *http.Response) (Verdict, bool) {
	v := Verdict{Outcome: Answered}
	switch response.Header.Get(HeaderOutcome) {
	case NotRun.String():
		v.Outcome = NotRun
	case Unknown.String():
		v.Outcome = Unknown
	default:
		return v, false
	}
	v.Reason = Reason(response.Header.Get(HeaderReason))
	if text := response.Header.Get(headerRetryMillis); text != "" {
		if after, err := ParseMillis(text); err == nil {
			v.RetryAfter = after
		}
	}
	return v, true
}

// learn takes in what an answer or a verdict says of the upstream.
func (c *ingressCall) learn(endpoint *routing.Endpoint, response *http.Response, verdict Verdict) {
	now := c.ingress.d.Now()
	if response != nil {
		if load, ok := parseLoad(response.Header.Get(headerLoad)); ok {
			endpoint.RecordLoad(now, load)
		}
	}
	switch {
	case verdict.Outcome == Answered && response.StatusCode < http.StatusInternalServerError:
		endpoint.RecordSuccess()
	case verdict.Outcome == NotRun && (verdict.Reason == Reason(admission.ReasonTooLate) || verdict.Reason == Reason(admission.ReasonQueueFull)),
		verdict.Reason == ReasonCanceled, verdict.Reason == Reason(admission.ReasonAbandoned):
	case verdict.Outcome == NotRun && verdict.Reason != ReasonUpstreamRefused:
		// The owner has no upstream to give the call to.
		endpoint.RecordConnectFailure(now)
	default:
		endpoint.RecordFailure(now)
	}
}

// parseLoad reads what Owner.load wrote.
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
	work, err := ParseMillis(parts[2])
	return routing.Load{Calls: calls, Slots: slots, AverageDuration: work}, err == nil
}
