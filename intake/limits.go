// Package intake bounds what a process holds for clients whose requests it has
// not read or who don't read its responses: the memory of header sections and
// messages that are incomplete or in use, and the connections. It has no timers and
// starts no goroutines.
package intake

import "bytes"

// Limits bound what a process holds for all its clients together.
type Limits struct {
	// HeaderBytes bounds the memory of header sections, and of the messages of
	// Guard.CountMessages, that are incomplete or in use.
	HeaderBytes int64
	// Conns bounds the open connections.
	Conns int
}

const (
	// _headerShare is the part of the memory for header sections, and _connShare
	// the part for connections. The garbage collector aims at three quarters, of
	// which bodies take an eighth.
	_headerShare, _connShare = 8, 2
	// _connBytes is the memory of a connection besides what is counted against
	// Limits.HeaderBytes: 14 KB were resident for each of 1,000 stalled ones, and
	// a header section takes _freeBytes more before it counts.
	_connBytes = 24 << 10
	// _minConns is a bound below which a node couldn't serve.
	_minConns = 64
)

// LimitsFor returns the limits of a process with the given memory limit in
// bytes, and number of descriptors. A quarter of the descriptors is left for
// connections that the process opens itself.
func LimitsFor(memory int64, descriptors uint64) Limits {
	conns := memory / _connShare / _connBytes
	if descriptors < 1<<32 {
		conns = min(conns, int64(descriptors)/4*3)
	}
	return Limits{HeaderBytes: memory / _headerShare, Conns: int(max(_minConns, conns))}
}

const (
	// _freeBytes is the cost of a header section that doesn't count against the
	// limit: about 1 KB in 40 lines. So ordinary requests are read when others
	// have used up the limit. A connection's share of the memory includes it.
	_freeBytes = 8 << 10
	// _costPerByte is the memory for each byte of a header section: a line grows
	// in a buffer, from which it is copied.
	_costPerByte = 2
	// _costPerLine is the memory for each line. Maps of short lines took 100 bytes
	// for each.
	_costPerLine = 128
)

// HeaderCost returns the memory that a header section, or a part of it, takes once
// it is parsed.
func HeaderCost(section []byte) int64 {
	return _costPerByte*int64(len(section)) + _costPerLine*int64(bytes.Count(section, []byte{'\n'}))
}
