// Package pipeline handles pipelined HTTP/1.1 requests concurrently.
//
// An http.Server handles the requests of a connection one after the other. A
// Server takes a connection over while the response to an idempotent request has
// not begun and further requests have arrived, handles those that are idempotent
// at the same time, and writes the responses in the order of the requests. It
// gives the connection back to the http.Server when all responses were written,
// and before any request that the http.Server must handle alone.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// MaxDepth is the highest bound on the requests of a connection that are handled
// at the same time.
const MaxDepth = 64

// _aheadBytes bounds what is read ahead of a taken-over connection. Sixteen
// requests with headers of 500 bytes fit. A longer request is left to the
// http.Server.
const _aheadBytes = 8 << 10

const (
	// _pipeBytes is the memory of a connection that is taken over, besides what it
	// has in an http.Server: _aheadBytes, a parser's buffer and a goroutine's stack.
	_pipeBytes = 20 << 10
	// _requestBytes is the memory of a request besides its header section and body:
	// its goroutine's stack, its contexts and the headers of its response.
	_requestBytes = 12 << 10
)

// Budget bounds the bytes that are kept in memory.
type Budget interface {
	// Reserve counts n more bytes and returns true if there is room for them.
	Reserve(n int) bool
	// Release ends the reservation of n bytes.
	Release(n int)
}

// Dependencies holds what New needs.
type Dependencies struct {
	// Depth bounds the requests of a connection whose responses have not been
	// sent; from 2 to MaxDepth.
	Depth int
	// IsIdempotent reports whether a request may be handled before the responses
	// to earlier ones were sent, which may fail to be sent although it has run.
	IsIdempotent func(*http.Request) bool
	// Budget bounds the memory for requests that were read ahead and for responses
	// that wait for their turn.
	Budget Budget
	Logger klog.Logger
}

// Server handles the pipelined requests of an http.Server.
type Server struct {
	deps     Dependencies
	server   *http.Server
	next     http.Handler
	setState func(net.Conn, http.ConnState)
	listener *listener

	takenOverCount, aheadCount, heldCount atomic.Uint64
	heldBytes                             atomic.Int64

	mu sync.Mutex
	// pipes are the connections that are taken over.
	pipes    map[*pipe]struct{}
	isClosed bool
}

// New returns a server that is not attached yet.
func New(d Dependencies) *Server {
	return &Server{deps: d, pipes: make(map[*pipe]struct{})}
}

// Attach makes the Server handle the pipelined requests of an http.Server, whose
// other fields must be set before, and returns the listener that the http.Server
// has to serve. Closing that listener closes the connections that are taken over.
// The ConnState hook of the http.Server sees a taken-over connection as active,
// idle and closed.
func (s *Server) Attach(server *http.Server, inner net.Listener) net.Listener {
	s.server, s.next = server, server.Handler
	s.setState = server.ConnState
	if s.setState == nil {
		s.setState = func(net.Conn, http.ConnState) {}
	}
	setState, connContext := s.setState, server.ConnContext
	server.Handler = http.HandlerFunc(s.serveHTTP)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.endStream()
		}
		if state != http.StateHijacked {
			setState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		c.baseContext = context.WithValue(ctx, http.LocalAddrContextKey, conn.LocalAddr())
		return context.WithValue(ctx, connKey{}, c)
	}
	s.listener = newListener(inner, s.closeAll)
	return s.listener
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// TakenOverCount returns how often a connection was taken over.
func (s *Server) TakenOverCount() uint64 { return s.takenOverCount.Load() }

// AheadCount returns how many requests were begun before the response to an
// earlier one was sent.
func (s *Server) AheadCount() uint64 { return s.aheadCount.Load() }

// HeldCount returns how many responses were complete before their turn.
func (s *Server) HeldCount() uint64 { return s.heldCount.Load() }

// HeldBytes returns the number of bytes of responses that wait for their turn.
func (s *Server) HeldBytes() int64 { return s.heldBytes.Load() }

// closeAll ends the connections that are taken over.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for p := range s.pipes {
		p.fail()
	}
}

// add records a connection that is taken over.
func (s *Server) add(p *pipe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pipes[p] = struct{}{}
	if s.isClosed {
		p.fail()
	}
}

func (s *Server) remove(p *pipe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pipes, p)
}

// writeTimeout returns the time in which a response must be sent; 0 for no bound.
func (s *Server) writeTimeout() time.Duration { return s.server.WriteTimeout }

// maxHeaderBytes bounds the header sections that the http.Server accepts.
func (s *Server) maxHeaderBytes() int {
	if s.server.MaxHeaderBytes > 0 {
		return s.server.MaxHeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}

// idleDeadline returns until when an unused connection is kept; the zero value
// for no bound.
func (s *Server) idleDeadline(now time.Time) time.Time {
	timeout := s.server.IdleTimeout
	if timeout == 0 {
		timeout = s.server.ReadTimeout
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return now.Add(timeout)
}

// logPanic logs the panic of a handler as the http.Server does.
func (s *Server) logPanic(request *http.Request, recovered any) {
	if recovered == http.ErrAbortHandler { //nolint:errorlint,err113 // The handler panics with this very value.
		return
	}
	if s.server.ErrorLog != nil {
		s.server.ErrorLog.Printf("http: panic serving %v: %v\n%s", request.RemoteAddr, recovered, debug.Stack())
	}
}
