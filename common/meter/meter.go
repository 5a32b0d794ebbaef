// Package meter counts the bytes that connections carry.
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Meter counts bytes read and written, without TCP and IP headers.
type Meter struct {
	bytesRead    atomic.Uint64
	bytesWritten atomic.Uint64
}

// TotalBytes returns the number of bytes read and written.
func (m *Meter) TotalBytes() uint64 {
	return m.bytesRead.Load() + m.bytesWritten.Load()
}

// CountDials wraps a dial function so that the meter counts the bytes of its
// connections.
func (m *Meter) CountDials(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, meter: m}, nil
	}
}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	// pending counts the bytes until SetMeter is called.
	pending Meter
	// meter is set from the start on dialed connections, assigned by SetMeter
	// on accepted ones.
	meter    *Meter
	assigned atomic.Pointer[Meter]
}

var _ syscall.Conn = (*Conn)(nil)

// SyscallConn gives access to the connection's socket, for socket.Peek. The
// error says that the wrapped connection has none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	wrapped, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is no socket", c.Conn)
	}
	raw, err := wrapped.SyscallConn()
	return raw, errors.Wrap(err, "get socket")
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// SetMeter makes the meter count all bytes of the connection, including those
// so far. Only the first call has an effect.
func (c *Conn) SetMeter(m *Meter) {
	if c.assigned.CompareAndSwap(nil, m) {
		m.bytesRead.Add(c.pending.bytesRead.Load())
		m.bytesWritten.Add(c.pending.bytesWritten.Load())
	}
}

// activeMeter returns the meter that counts the bytes now.
func (c *Conn) activeMeter() *Meter {
	if c.meter != nil {
		return c.meter
	}
	if m := c.assigned.Load(); m != nil {
		return m
	}
	return &c.pending
}

// Read reads from the connection and counts the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.activeMeter().bytesRead.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.activeMeter().bytesWritten.Add(uint64(n))
	return n, err
}

// Listener accepts connections whose bytes are counted once SetMeter is called
// on them.
type Listener struct {
	net.Listener
}

// Accept returns the next connection as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

type connKey struct{}

// ConnContext stores an accepted connection in the context of its requests. It
// is a ConnContext hook of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// SetRequestMeter makes the meter count the connection of the request with the
// given context.
func SetRequestMeter(ctx context.Context, m *Meter) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.SetMeter(m)
	}
}
