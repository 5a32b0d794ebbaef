package wire

import (
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
)

// EncodeCrashRecords maps records of crashes to their messages, with times as
// ages at now.
func EncodeCrashRecords(now time.Time, records []crash.Record) []*lentilferryv1.CrashRecord {
	messages := make([]*lentilferryv1.CrashRecord, 0, len(records))
	for _, r := range records {
		message := &lentilferryv1.CrashRecord{
			Content: r.Content[:], Target: r.Target[:], Label: r.Label,
			Generation: r.Generation, Trips: r.Trips, AgeMillis: millisBetween(r.ChangedAt, now),
		}
		if !r.TrialAt.IsZero() {
			age := millisBetween(r.TrialAt, now)
			message.TrialAgeMillis = &age
		}
		for _, c := range r.Crashes {
			message.Crashes = append(message.Crashes, &lentilferryv1.Crash{
				Process: c.Process, Service: string(c.Runner.Service), Version: string(c.Runner.Version),
				AgeMillis: millisBetween(c.At, now), RanMillis: millisBetween(c.StartedAt, c.At),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// DecodeCrashRecords maps messages to records of crashes. It leaves out those
// whose content or target has the wrong length.
func DecodeCrashRecords(now time.Time, messages []*lentilferryv1.CrashRecord) []crash.Record {
	records := make([]crash.Record, 0, len(messages))
	for _, message := range messages {
		r := crash.Record{
			Label: message.GetLabel(), Generation: message.GetGeneration(), Trips: message.GetTrips(),
			ChangedAt: now.Add(-duration(message.GetAgeMillis())),
		}
		if len(message.GetContent()) != len(r.Content) || len(message.GetTarget()) != len(r.Target) {
			continue
		}
		if message.TrialAgeMillis != nil {
			r.TrialAt = now.Add(-duration(message.GetTrialAgeMillis()))
		}
		copy(r.Content[:], message.GetContent())
		copy(r.Target[:], message.GetTarget())
		for _, c := range message.GetCrashes() {
			at := now.Add(-duration(c.GetAgeMillis()))
			r.Crashes = append(r.Crashes, crash.Crash{
				Process:   c.GetProcess(),
				Runner:    crash.Runner{Service: config.ServiceName(c.GetService()), Version: config.VersionName(c.GetVersion())},
				StartedAt: at.Add(-duration(c.GetRanMillis())), At: at,
			})
		}
		records = append(records, r)
	}
	return records
}

// _maxAge bounds the ages in messages, far beyond what is remembered.
const _maxAge = 24 * time.Hour

// duration returns a number of milliseconds as a duration, at most _maxAge.
func duration(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(_maxAge.Milliseconds()))) * time.Millisecond
}

// millisBetween returns the whole milliseconds from one time to a later one.
func millisBetween(from, to time.Time) uint64 {
	return uint64(max(0, to.Sub(from).Milliseconds()))
}
