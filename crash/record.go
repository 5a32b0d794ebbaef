package crash

import (
	"slices"
	"time"

	"lentilferry.example/lentilferry/config"
)

const (
	// Threshold is how many processes a call crashes before it is blocked.
	Threshold = 3
	// _minBlock is how long a call is blocked at first. It is short because
	// upstreams may have crashed for another reason and be well again. Each trial
	// call that crashes an upstream makes the next block _blockGrowth times as
	// long, up to _maxBlock.
	_minBlock    = time.Second
	_blockGrowth = 6
	_maxBlock    = time.Minute
	// _minCrashDistance is the least time between two crashes of a call that
	// count. Upstreams that end for a common cause do so within less, while calls
	// are sent on from one to the next.
	_minCrashDistance = 250 * time.Millisecond
	// _memory is how long a crash counts, and how long a call is remembered after
	// its block has ended.
	_memory = 2 * time.Minute
	// _minTrialDistance is the least time between two trial calls that are told
	// apart.
	_minTrialDistance = time.Second
	// _maxCrashes bounds the crashes of a record.
	_maxCrashes = 8
	// _maxTrips is more than _maxBlock needs.
	_maxTrips = 16
)

// Runner is what runs a call: a service in one version.
type Runner struct {
	Service config.ServiceName
	Version config.VersionName
}

// Crash is the end of an upstream process while it was running a call.
type Crash struct {
	// Process identifies the process among all that ever ran.
	Process uint64
	Runner  Runner
	// StartedAt is when the process was sent the call, and At when it ended.
	StartedAt, At time.Time
}

// Record is what is known of a call that was running when upstreams crashed.
type Record struct {
	Content Content
	Target  Target
	// Label describes the call for operators; it may be empty while the call is
	// not blocked.
	Label string
	// Generation grows each time the call is cleared: by an answer or by an
	// operator. Of two records, that of the higher generation is valid.
	Generation uint32
	// Trips is how often the call was blocked in this generation; 0 while its
	// crashes are counted.
	Trips uint32
	// Crashes is sorted by time and has an entry for each runner that is
	// blocked. It holds at most _maxCrashes.
	Crashes []Crash
	// ChangedAt is when the call was last blocked, cleared or, before it is
	// blocked, last crashed a process.
	ChangedAt time.Time
	// TrialAt is when a node last let a trial call through to a runner that has
	// crashed and whose outcome isn't known; zero if there is none.
	TrialAt time.Time
}

// Blocked reports whether the call is in a block, whatever the runner.
func (r *Record) Blocked(now time.Time) bool {
	return r.Trips > 0 && now.Before(r.BlockedUntil())
}

// BlockedUntil returns when the call's latest block ends; the zero time if it
// was not blocked.
func (r *Record) BlockedUntil() time.Time {
	if r.Trips == 0 {
		return time.Time{}
	}
	return r.ChangedAt.Add(r.blockDuration())
}

func (r *Record) blockDuration() time.Duration {
	duration := _minBlock
	for trip := uint32(1); trip < r.Trips && duration < _maxBlock; trip++ {
		duration *= _blockGrowth
	}
	return min(duration, _maxBlock)
}

// expired reports whether the record no longer matters.
func (r *Record) expired(now time.Time) bool {
	if r.Trips == 0 {
		return now.Sub(r.ChangedAt) > _memory
	}
	return now.Sub(r.BlockedUntil()) > _memory
}

// hasCrashed reports whether the call has crashed a process of the runner.
func (r *Record) hasCrashed(runner Runner) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Runner == runner })
}

// addCrash adds a crash unless it is known, and reports whether it did. It
// blocks the call when the threshold is reached.
func (r *Record) addCrash(now time.Time, c Crash) bool {
	if slices.ContainsFunc(r.Crashes, func(known Crash) bool { return known.Process == c.Process }) {
		return false
	}
	if r.Trips > 0 {
		return r.addCrashToBlocked(now, c)
	}
	before := len(r.Crashes)
	r.Crashes = append(slices.Clone(r.Crashes), c)
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	chain := sequence(r.Crashes)
	if len(chain) >= Threshold {
		r.Trips, r.ChangedAt = 1, now
		r.dropSurplus(chain)
		return true
	}
	r.dropSurplus(chain)
	if len(r.Crashes) == before {
		return false
	}
	r.ChangedAt = r.Crashes[len(r.Crashes)-1].At
	return true
}

// addCrashToBlocked adds a crash by a call that was blocked before. It blocks
// the call again if the run began after the block had ended, and blocks it for
// one more runner if this one had not crashed before.
func (r *Record) addCrashToBlocked(now time.Time, c Crash) bool {
	changed := false
	if !c.StartedAt.Before(r.BlockedUntil()) {
		r.Trips, r.ChangedAt, r.TrialAt = min(r.Trips+1, _maxTrips), now, time.Time{}
		changed = true
	}
	return r.addRunner(c) || changed
}

// addRunner adds a crash if it is the first of its runner, and reports whether
// it did.
func (r *Record) addRunner(c Crash) bool {
	if r.hasCrashed(c.Runner) || len(r.Crashes) >= _maxCrashes {
		return false
	}
	r.Crashes = append(slices.Clone(r.Crashes), c)
	return true
}

// dropSurplus keeps the crashes in the chain, and of the others one for each
// runner that has none in it.
func (r *Record) dropSurplus(chain []Crash) {
	all := r.Crashes
	r.Crashes = chain
	for _, c := range all {
		if !r.hasCrashed(c.Runner) && len(r.Crashes) < _maxCrashes {
			r.Crashes = append(r.Crashes, c)
		}
	}
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// sequence returns the longest sequence of crashes that are _minCrashDistance
// apart and in which each run began after the crash before it. The crashes must be
// sorted by time. Upstreams that end at about the same moment have a common cause,
// which is not a call that each of them was running.
func sequence(crashes []Crash) []Crash {
	var chain []Crash
	for _, c := range crashes {
		if len(chain) == 0 {
			chain = append(chain, c)
			continue
		}
		before := chain[len(chain)-1].At
		if c.At.Sub(before) >= _minCrashDistance && !c.StartedAt.Before(before) {
			chain = append(chain, c)
		}
	}
	return chain
}

// merge merges another node's record of the same call and reports whether this
// one has changed.
func (r *Record) merge(now time.Time, other Record) bool {
	if other.Generation != r.Generation || other.Trips != r.Trips {
		newer := other.Generation > r.Generation || other.Generation == r.Generation && other.Trips > r.Trips
		if !newer {
			return false
		}
		if other.Label == "" {
			other.Label = r.Label
		}
		*r = other
		return true
	}
	changed := r.mergeTrial(other.TrialAt)
	for _, c := range other.Crashes {
		if r.Trips > 0 {
			changed = r.addRunner(c) || changed
		} else {
			changed = r.addCrash(now, c) || changed
		}
	}
	return changed
}

// mergeTrial takes over a later trial call of another node, and reports whether
// it did. The time of a trial that is known already comes back a little later
// each time, by what messages take.
func (r *Record) mergeTrial(at time.Time) bool {
	if at.Sub(r.TrialAt) < _minTrialDistance || at.IsZero() {
		return false
	}
	r.TrialAt = at
	return true
}

// clear starts a new generation without the crashes for which drop is true.
func (r *Record) clear(now time.Time, drop func(Crash) bool) {
	r.Generation++
	r.TrialAt = time.Time{}
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), drop)
	if len(r.Crashes) == 0 {
		r.Trips, r.ChangedAt = 0, now
	}
}
