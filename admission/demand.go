package admission

import (
	"math"
	"time"
)

// _demandTimeConstant is the time in which what was asked loses most of its weight.
const _demandTimeConstant = time.Second

// demand measures how many slots the calls of each rank would keep busy.
type demand struct {
	// secondsByRank holds the seconds of work asked for, weighted by age.
	secondsByRank map[uint32]float64
	// updatedAt is when the weights were last brought up to date.
	updatedAt time.Time
}

// _maxRanks bounds the ranks that are told apart.
const _maxRanks = 32

func newDemand() demand {
	return demand{secondsByRank: make(map[uint32]float64)}
}

// add takes in a call.
func (d *demand) add(now time.Time, rank uint32, work time.Duration) {
	d.decay(now)
	if _, known := d.secondsByRank[rank]; known || len(d.secondsByRank) < _maxRanks {
		d.secondsByRank[rank] += work.Seconds()
	}
}

// slotsAbove returns how many slots the calls more urgent than a rank keep busy.
func (d *demand) slotsAbove(now time.Time, rank uint32) float64 {
	d.decay(now)
	var sum float64
	for r, work := range d.secondsByRank {
		if r < rank {
			sum += work
		}
	}
	return sum / _demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 && !d.updatedAt.IsZero() {
		left := math.Exp(-float64(elapsed) / float64(_demandTimeConstant))
		for rank := range d.secondsByRank {
			d.secondsByRank[rank] *= left
		}
	}
	d.updatedAt = now
}
