package intake

import (
	"context"
	"net"
	"net/http"
)

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
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = withConn(ctx, conn)
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return ctx
	}
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 1 {
			// The server passes the preface of HTTP/2 on, and then closes the
			// connection.
			http.Error(w, "this address serves HTTP/1.1", http.StatusHTTPVersionNotSupported)
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
}
