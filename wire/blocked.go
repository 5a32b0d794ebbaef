package wire

import (
	"time"

	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
)

// EncodeBlockedCalls maps records of crashes to the messages that operators get.
func EncodeBlockedCalls(now time.Time, records []crash.Record) []*lentilferryv1.BlockedCall {
	messages := make([]*lentilferryv1.BlockedCall, 0, len(records))
	for _, r := range records {
		messages = append(messages, EncodeBlockedCall(now, r))
	}
	return messages
}

// EncodeBlockedCall maps a record of crashes to the message that operators get,
// with times as durations from now.
func EncodeBlockedCall(now time.Time, r crash.Record) *lentilferryv1.BlockedCall {
	message := &lentilferryv1.BlockedCall{
		Content: r.Content.String(), Label: r.Label, Crashes: uint32(len(r.Crashes)), Trips: r.Trips,
		Blocked: r.Blocked(now), AgeMillis: millisBetween(r.ChangedAt, now),
	}
	if message.GetBlocked() {
		message.BlockEndsInMillis = millisBetween(now, r.BlockedUntil())
	}
	seen := make(map[crash.Runner]bool, len(r.Crashes))
	for _, c := range r.Crashes {
		if !seen[c.Runner] {
			seen[c.Runner] = true
			message.Runners = append(message.Runners, &lentilferryv1.Runner{Service: string(c.Runner.Service), Version: string(c.Runner.Version)})
		}
	}
	return message
}
