// Package meter counts the bytes of connections.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts bytes read and written. TCP and IP headers are not counted.
type Meter struct {
	bytesRead    atomic.Uint64
	bytesWritten atomic.Uint64
}

// TotalBytes returns all bytes counted.
func (m *Meter) TotalBytes() uint64 {
	return m.bytesRead.Load() + m.bytesWritten.Load()
}

// CountDials returns a dial function whose connections the meter counts.
func (m *Meter) CountDials(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, meter: m}, nil
	}
}

// Conn is a counted connection.
type Conn struct {
	net.Conn
	// pending counts bytes until the connection is assigned to a meter.
	pending  Meter
	meter    *Meter
	assigned atomic.Pointer[Meter]
}

// SetMeter makes the meter count the connection from its begin, once.
func (c *Conn) SetMeter(m *Meter) {
	if c.assigned.CompareAndSwap(nil, m) {
		m.bytesRead.Add(c.pending.bytesRead.Load())
		m.bytesWritten.Add(c.pending.bytesWritten.Load())
	}
}

func (c *Conn) activeMeter() *Meter {
	if c.meter != nil {
		return c.meter
	}
	if m := c.assigned.Load(); m != nil {
		return m
	}
	return &c.pending
}

// Read reads and counts.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.activeMeter().bytesRead.Add(uint64(n))
	return n, err
}

// Write writes and counts.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.activeMeter().bytesWritten.Add(uint64(n))
	return n, err
}

// Listener counts the connections it accepts once they are assigned.
type Listener struct {
	net.Listener
}

// Accept returns a connection that can be assigned to a meter.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

type connKey struct{}

// ConnContext puts an accepted connection into the context of its requests.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// SetRequestMeter assigns the connection of a request to a meter.
func SetRequestMeter(ctx context.Context, m *Meter) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.SetMeter(m)
	}
}
