package intake

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// find returns the guarded connection that a server's connection is or wraps.
func find(conn net.Conn) (*Conn, bool) {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c, true
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil, false
		}
	}
}

// unreadOf returns the bytes that a wrapper of a guarded connection has read of it
// and holds for the server.
func unreadOf(conn net.Conn) []byte {
	if c, ok := conn.(interface{ Unread() []byte }); ok {
		return c.Unread()
	}
	return nil
}

// hook sets the server's hooks, which call those that were set before.
func (g *Guard) hook(server *http.Server) {
	handler, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor > 1 {
			g.serveStream(handler, w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := find(conn); ok {
			g.trackState(c, state)
			if state == http.StateNew {
				g.trackReturn(c, unreadOf(conn))
			}
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := find(conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return ctx
	}
}

// serveStream serves an HTTP/2 request and counts its header section until the
// client has taken the response.
func (g *Guard) serveStream(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	cost := _streamBytes + headerCost(r)
	if !g.addStream(c, cost) {
		// The connection has ended, so nothing was run and nothing is answered.
		panic(http.ErrAbortHandler)
	}
	defer g.endStream(c, cost)
	handler.ServeHTTP(w, r)
	// The server sends the rest of a response after its handler, and keeps the
	// request until the client's window lets it. Waiting here keeps the request
	// counted; the error is that of a client that has gone.
	_ = http.NewResponseController(w).Flush()
}

// headerCost returns the memory of a request's header section.
func headerCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return _costPerByte*int64(size) + _costPerLine*int64(lines)
}
