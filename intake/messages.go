package intake

import (
	"context"
	"io"
	"net"
	"net/http"
)

// connKey is the context key of the guarded connection of a request.
type connKey struct{}

// CountMessages wraps a handler that reads the bodies of its requests to their end
// before it does anything else, or not at all, and writes a response once it is
// whole. What is read of a body counts like a header section, and the request counts
// as incomplete until its body has ended; what is written counts until the client has
// taken it. The handler must be that of a server that Protect was called for, or a
// part of it.
func (g *Guard) CountMessages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 {
			g.startBody(c)
			r.Body = &countedBody{ReadCloser: r.Body, guard: g, conn: c}
		}
		next.ServeHTTP(&countedWriter{ResponseWriter: w, guard: g, conn: c}, r)
	})
}

// withConn stores the guarded connection that conn is or wraps, for CountMessages.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := find(conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// countedBody is a request body that counts against the limit.
type countedBody struct {
	io.ReadCloser
	guard *Guard
	conn  *Conn
}

// Read reads the body. It returns net.ErrClosed if the connection was ended to stay
// within the limits.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.guard.countBody(b.conn, n, err != nil) {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // The wrapper is transparent.
}

// startBody records that the body of a request is incomplete.
func (g *Guard) startBody(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == _inUse {
		g.startReading(c)
		c.phase = _readingBody
	}
}

// countBody counts n bytes that were read of a body. It returns false if the
// connection was ended to stay within the limits.
func (g *Guard) countBody(c *Conn, n int, ended bool) bool {
	g.mu.Lock()
	if c.phase == _removed {
		g.mu.Unlock()
		return false
	}
	if ended && c.phase == _readingBody {
		g.startUsing(c)
	}
	c.cost += _costPerByte * int64(n)
	g.charge(c)
	return g.enforce(c)
}

// countedWriter is a response writer whose writes count against the limit until the
// client has taken them.
type countedWriter struct {
	http.ResponseWriter
	guard *Guard
	conn  *Conn
}

// Write writes a part of the response. It returns net.ErrClosed if the connection was
// ended to stay within the limits.
func (w *countedWriter) Write(p []byte) (int, error) {
	cost := _costPerByte * int64(len(p))
	if !w.guard.hold(w.conn, cost) {
		return 0, net.ErrClosed
	}
	defer w.guard.release(w.conn, cost)
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // The wrapper is transparent.
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// hold adds to what a connection holds. It returns false if the connection was ended
// to stay within the limits.
func (g *Guard) hold(c *Conn, cost int64) bool {
	g.mu.Lock()
	if c.phase == _removed {
		g.mu.Unlock()
		return false
	}
	c.cost += cost
	g.charge(c)
	return g.enforce(c)
}

// release ends hold.
func (g *Guard) release(c *Conn, cost int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase != _removed {
		c.cost -= cost
		g.charge(c)
	}
}
