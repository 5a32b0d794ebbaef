package admission

import (
	"math"
	"time"
)

// _demandTimeConstant is the time in which the weight of past demand falls to
// 1/e.
const _demandTimeConstant = time.Second

// demand estimates how many slots the calls of each level keep busy, as an
// exponentially decaying sum of their expected durations.
type demand struct {
	// secondsByLevel holds the expected seconds of work by level, decayed by age.
	secondsByLevel map[int]float64
	// updatedAt is when secondsByLevel was last decayed.
	updatedAt time.Time
}

// _maxLevels bounds the tracked levels; calls of further levels are not counted.
const _maxLevels = 64

func newDemand() demand {
	return demand{secondsByLevel: make(map[int]float64)}
}

// add counts a call that is expected to run for the given duration.
func (d *demand) add(now time.Time, level int, duration time.Duration) {
	d.decay(now)
	if _, known := d.secondsByLevel[level]; known || len(d.secondsByLevel) < _maxLevels {
		d.secondsByLevel[level] += duration.Seconds()
	}
}

// slotsBelow returns how many slots the calls below a level keep busy.
func (d *demand) slotsBelow(now time.Time, level int) float64 {
	d.decay(now)
	var sum float64
	for l, seconds := range d.secondsByLevel {
		if l < level {
			sum += seconds
		}
	}
	return sum / _demandTimeConstant.Seconds()
}

// decay reduces the sums by the time passed since the last update.
func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 && !d.updatedAt.IsZero() {
		factor := math.Exp(-float64(elapsed) / float64(_demandTimeConstant))
		for level := range d.secondsByLevel {
			d.secondsByLevel[level] *= factor
		}
	}
	d.updatedAt = now
}
