package admission

import (
	"math"
	"time"
)

// _demandTimeConstant is the time in which the weight of past demand falls to
// 1/e.
const _demandTimeConstant = time.Second

// demand estimates how many slots the calls of each rank keep busy, as an
// exponentially decaying sum of their expected durations.
type demand struct {
	// secondsByRank holds the expected seconds of work by rank, decayed by age.
	secondsByRank map[uint32]float64
	// updatedAt is when secondsByRank was last decayed.
	updatedAt time.Time
}

// _maxRanks bounds the tracked ranks; calls of further ranks are not counted.
const _maxRanks = 32

func newDemand() demand {
	return demand{secondsByRank: make(map[uint32]float64)}
}

// add counts a call that is expected to run for the given duration.
func (d *demand) add(now time.Time, rank uint32, duration time.Duration) {
	d.decay(now)
	if _, known := d.secondsByRank[rank]; known || len(d.secondsByRank) < _maxRanks {
		d.secondsByRank[rank] += duration.Seconds()
	}
}

// slotsAbove returns how many slots the calls more urgent than rank keep busy.
func (d *demand) slotsAbove(now time.Time, rank uint32) float64 {
	d.decay(now)
	var sum float64
	for r, seconds := range d.secondsByRank {
		if r < rank {
			sum += seconds
		}
	}
	return sum / _demandTimeConstant.Seconds()
}

// decay reduces the sums by the time passed since the last update.
func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 && !d.updatedAt.IsZero() {
		factor := math.Exp(-float64(elapsed) / float64(_demandTimeConstant))
		for rank := range d.secondsByRank {
			d.secondsByRank[rank] *= factor
		}
	}
	d.updatedAt = now
}
