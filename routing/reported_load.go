package routing

import (
	"math"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _slownessLifetime is the time in which the weight of a reported slowness
	// falls to 1/e. VMs are shared, so their speed changes many times a second. At
	// VMs that change theirs each 100 ms, 600 ms answers 0.02 fewer of the calls in
	// time under high load than 100 ms.
	_slownessLifetime = 150 * time.Millisecond
	// _meanCallsLifetime is the same for the mean number of calls at an upstream.
	// It lets a sender return to an upstream that was overloaded, of which it gets
	// no further report as long as it sends no call there.
	_meanCallsLifetime = 2 * time.Second
	// _learnedLifetime is the same for what was learned about an upstream's own
	// speed, so that one that was slow for a while is tried again.
	_learnedLifetime = 10 * time.Second
	// _reportingLifetime is how long after its last report a service counts as one
	// whose upstreams report their load.
	_reportingLifetime = time.Minute
	// _maxAssumedUtilization bounds the share of an upstream's slots that are
	// assumed busy without a recent report.
	_maxAssumedUtilization = 0.8
	// _paceSmoothing is the weight of the newest report in what is learned of an
	// upstream's own speed and of a route's work. Owners report means of their
	// own.
	_paceSmoothing = 0.3
	_workSmoothing = 0.05
	// _maxRouteModels bounds the routes of a service whose work is tracked.
	_maxRouteModels = 256
)

const (
	// _zoneRoundTrip is the time for a message to another zone of the region and
	// back, and _regionRoundTrip to another region.
	_zoneRoundTrip   = 1800 * time.Microsecond
	_regionRoundTrip = 40 * time.Millisecond
	// _zonePrice and _regionPrice are the costs of a call to another zone of the
	// region and to another region beside the time, since the links are paid by
	// volume. While all upstreams are busy, a lower price moves calls between
	// regions without more of them being in time.
	_zonePrice   = 30 * time.Millisecond
	_regionPrice = 260 * time.Millisecond
	// _regionBytePrice is the cost of each byte of a response from another region:
	// a connection carries 3 MB/s over that distance, and the link is paid by
	// volume.
	_regionBytePrice = time.Microsecond
)

// ReportedLoad is what an upstream that reports its load says of itself, as its
// owner passes it on. The zero value stands for no report.
type ReportedLoad struct {
	// Running, Waiting and Slots are the upstream's own counts.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream's VM at the time of the
	// report, relative to the usual; 0 if the upstream reports none.
	Slowness float64
	// MeanSlowness is the long-run mean of Slowness.
	MeanSlowness float64
	// Age is how old the upstream's report was when its owner passed it on.
	Age time.Duration
	// Route is the route of the call whose answer carried the report, and Work how
	// long a call of that route runs on average at this upstream while Slowness is
	// 1; 0 if unknown.
	Route config.RouteName
	Work  time.Duration
}

// estimate is what a sender has learned of an upstream that reports its load.
type estimate struct {
	slowness, meanSlowness float64
	// slownessAt is when the upstream reported slowness; zero if it never did.
	slownessAt time.Time
	// pace is how long work takes at the upstream on a VM of usual speed, relative
	// to the work of the route; 0 if unknown.
	pace float64
	// meanCalls is the moving average of the calls running or waiting.
	meanCalls float64
}

// record updates the estimate with a report. previousAt is when the report
// before arrived.
func (s *estimate) record(now, previousAt time.Time, load Load, m *serviceModel) {
	if load.Reported.Slowness <= 0 {
		return
	}
	m.markReporting(now)
	s.slowness, s.slownessAt = load.Reported.Slowness, now.Add(-load.Reported.Age)
	s.meanSlowness = load.Reported.MeanSlowness
	if s.meanSlowness <= 0 {
		s.meanSlowness = s.slowness
	}
	weight := fade(now.Sub(previousAt), _meanCallsLifetime)
	if previousAt.IsZero() {
		weight = 0
	}
	s.meanCalls = weight*s.meanCalls + (1-weight)*float64(load.Calls)
	s.pace = m.learn(load, s.pace)
}

// fade returns the weight, from 1 to 0, of something learned when it has the
// given age. It is the exponential function by its first terms, at a tenth of the
// cost.
func fade(age, lifetime time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(lifetime)
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x/24))))
}

// slowFade is like fade, for lifetimes that need no exact decay.
func slowFade(age, lifetime time.Duration) float64 {
	x := max(0, float64(age)/float64(lifetime))
	return 1 / (1 + x*x)
}

// expectation is what a choice needs to know of the call and its service.
type expectation struct {
	// work is how long a call of the route runs at an upstream of pace 1 on a VM of
	// usual speed; 0 if unknown.
	work time.Duration
	// responseBytes is the mean size of a response of the route.
	responseBytes float64
	// pace is the mean pace of the service's upstreams.
	pace float64
	// utilization is the mean share of busy slots at the service's upstreams.
	utilization float64
}

// completion is the expected course of a call that is sent to an upstream.
type completion struct {
	// wait is the time until the call gets a slot, and run the time for which it
	// runs then.
	wait, run time.Duration
	// distance is the cost of reaching the upstream.
	distance time.Duration
	// failure is the cost of the upstream's failures.
	failure time.Duration
}

// total returns the cost that upstreams are compared by.
func (c completion) total() time.Duration {
	return c.wait + c.run + c.distance + c.failure
}

// expect estimates the course of a call sent to the upstream now.
func (e *Endpoint) expect(now time.Time, x expectation) completion {
	e.mu.Lock()
	load, reportedAt, known := e.load, e.reportedAt, e.estimate
	failureRate := e.failureRate * max(0, 1-float64(now.Sub(e.lastFailureAt))/float64(_baseEjection))
	e.mu.Unlock()
	age := now.Sub(reportedAt)
	slowness, mean, pace := known.at(now, age, x)
	run := pace * float64(x.work) * slowness
	average := float64(load.AverageDuration)
	if x.work == 0 {
		run = float64(_defaultCallDuration)
		if average > 0 {
			run = average
		}
	}
	if average == 0 {
		average = run
	} else {
		average *= slowness / mean
	}
	if e.Member.State == membership.Warming {
		run *= _warmingSlowdown
	}
	slots := e.slots(load)
	calls, variance := known.callsAt(age, average, slots, load, x)
	calls = max(calls, 0) + float64(min(e.startedSinceReport.Load(), e.inFlight.Load()))
	calls = max(calls, float64(e.inFlight.Load()))
	wait := expectedExcess(calls+1-slots, variance) / slots * average
	return completion{
		wait:     time.Duration(wait),
		run:      time.Duration(run),
		distance: e.distance + time.Duration(x.responseBytes*e.bytePrice),
		failure:  time.Duration(failureRate * float64(_failurePenalty)),
	}
}

// ExpectedTime returns how long a call of the route that is sent to the upstream
// now is expected to wait for a slot and to run. It returns false if the upstreams of the
// service don't report their load.
func (e *Endpoint) ExpectedTime(now time.Time, route config.RouteName) (time.Duration, bool) {
	if !e.model.isReporting(now) {
		return 0, false
	}
	c := e.expect(now, e.model.expectation(route))
	return c.wait + c.run, true
}

// slots returns how many calls the upstream runs concurrently.
func (e *Endpoint) slots(load Load) float64 {
	slots := max(1, e.Member.Slots)
	if load.Slots > 0 {
		slots = load.Slots
	}
	if load.Reported.Slots > 0 {
		slots = min(slots, load.Reported.Slots)
	}
	return float64(slots)
}

// at returns the upstream's expected slowness, the long-run mean of it, and its
// pace, age after the last report.
func (s *estimate) at(now time.Time, age time.Duration, x expectation) (slowness, mean, pace float64) {
	learned := slowFade(age, _learnedLifetime)
	mean, pace = 1, x.pace
	if s.pace > 0 {
		pace += (s.pace - pace) * learned
	}
	if s.slownessAt.IsZero() {
		return mean, mean, pace
	}
	mean += (s.meanSlowness - 1) * learned
	return mean + (s.slowness-mean)*fade(now.Sub(s.slownessAt), _slownessLifetime), mean, pace
}

// callsAt returns the expected number of calls at the upstream, age after the
// last report, and its variance. Calls of the report have ended by then with a
// probability that grows with the age relative to the average duration; others
// have come, as many as usual.
func (s *estimate) callsAt(age time.Duration, average, slots float64, load Load, x expectation) (calls, variance float64) {
	usual := min(x.utilization, _maxAssumedUtilization) * slots
	if load.Slots == 0 {
		return usual, usual
	}
	usual += (s.meanCalls - usual) * slowFade(age, _meanCallsLifetime)
	// While calls wait, the number falls by no more than the slots complete.
	left := float64(load.Calls)
	if queued := left - slots; queued > 0 {
		average *= 1 + queued/slots
	}
	present := fade(age, time.Duration(average))
	return left*present + usual*(1-present), (left*present + usual) * (1 - present)
}

// expectedExcess estimates the expectation of max(0, X) for a normally
// distributed X with the given mean and variance. It is exact for a mean of 0 and
// far from it, and at most 0.07 deviations too high between.
func expectedExcess(mean, variance float64) float64 {
	return (mean + math.Sqrt(mean*mean+2/math.Pi*variance)) / 2
}
