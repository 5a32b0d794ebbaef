package admission

import (
	"math"
	"time"
)

// _demandTimeConstant is the time in which what was asked loses most of its weight.
const _demandTimeConstant = time.Second

// demand measures how many slots the calls of each rank would keep busy.
type demand struct {
	// byRank holds the seconds of work asked for, weighted by age.
	byRank map[uint32]float64
	// at is when the weights were last brought up to date.
	at time.Time
}

// _maxRanks bounds the ranks that are told apart.
const _maxRanks = 32

func newDemand() demand {
	return demand{byRank: make(map[uint32]float64)}
}

// add takes in a call.
func (d *demand) add(now time.Time, rank uint32, work time.Duration) {
	d.fade(now)
	if _, known := d.byRank[rank]; known || len(d.byRank) < _maxRanks {
		d.byRank[rank] += work.Seconds()
	}
}

// above returns how many slots the calls more urgent than a rank keep busy.
func (d *demand) above(now time.Time, rank uint32) float64 {
	d.fade(now)
	var sum float64
	for r, work := range d.byRank {
		if r < rank {
			sum += work
		}
	}
	return sum / _demandTimeConstant.Seconds()
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 && !d.at.IsZero() {
		left := math.Exp(-float64(elapsed) / float64(_demandTimeConstant))
		for rank := range d.byRank {
			d.byRank[rank] *= left
		}
	}
	d.at = now
}
