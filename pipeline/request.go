package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// isPlain reports whether a request may be handled at the same time as others, as
// far as the request itself tells: HTTP/1.1, a body with a length or none, and
// nothing that changes how the connection goes on.
func isPlain(r *http.Request) bool {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close || r.ContentLength < 0 || r.ContentLength > _aheadBytes ||
		len(r.TransferEncoding) > 0 || len(r.Trailer) > 0 || r.Method == http.MethodConnect || r.RequestURI == "*" {
		return false
	}
	for _, name := range []string{"Connection", "Expect", "Upgrade", "Te"} {
		if _, ok := r.Header[name]; ok && !isKeepAlive(name, r.Header[name]) {
			return false
		}
	}
	return true
}

// isKeepAlive reports whether a header says no more than that the connection is
// to be kept, which is the default.
func isKeepAlive(name string, values []string) bool {
	return name == "Connection" && len(values) == 1 && strings.EqualFold(values[0], "keep-alive")
}

// firstRequest is a request that the http.Server has read, and its response
// writer. Until the response begins, the connection may be taken over; then the
// response is written by the pipe.
type firstRequest struct {
	server  *Server
	conn    *Conn
	request *http.Request
	writer  http.ResponseWriter
	header  http.Header
	// hasReturned is set unless the handler has panicked.
	hasReturned bool

	mu sync.Mutex
	// isDecided is set once the response has begun or the connection was taken
	// over.
	isDecided bool
	// response is nil unless the connection was taken over.
	response *response
}

var _ http.ResponseWriter = (*firstRequest)(nil)

// serveHTTP handles a request that the http.Server has read.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || !s.mayShare(conn, r) {
		if ok && r.ProtoMajor == 1 && r.ContentLength != 0 {
			conn.passBody(r.ContentLength)
		}
		s.next.ServeHTTP(w, r)
		return
	}
	f := &firstRequest{server: s, conn: conn, request: r, writer: w, header: w.Header()}
	defer f.finish()
	if !conn.watch(f) {
		f.takeOver()
	}
	s.next.ServeHTTP(f, r)
	f.hasReturned = true
}

// mayShare reports whether others may be handled at the same time as a request that
// the http.Server has read, unless the route forbids it. The body must have arrived.
func (s *Server) mayShare(conn *Conn, r *http.Request) bool {
	return isPlain(r) && (r.ContentLength == 0 || s.deps.IsIdempotent(r) && readArrivedBody(conn, r))
}

// readArrivedBody replaces the body of a request by one in memory, if all of it
// has arrived. Otherwise it returns false and leaves the body alone.
func readArrivedBody(conn *Conn, r *http.Request) bool {
	if !conn.expectBody(r.ContentLength) {
		return false
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return false
	}
	// The end must be read too for the server to see that the caller leaves.
	_, _ = r.Body.Read(make([]byte, 1))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// takeOver takes the connection over unless the response has begun.
func (f *firstRequest) takeOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	hijacker, ok := f.writer.(http.Hijacker)
	if f.isDecided || !ok || !f.server.deps.IsIdempotent(f.request) || !f.server.deps.Budget.Reserve(_pipeBytes) {
		return
	}
	_, buffers, err := hijacker.Hijack()
	if err != nil {
		f.server.deps.Budget.Release(_pipeBytes)
		return
	}
	buffered := make([]byte, buffers.Reader.Buffered())
	// What is buffered can be read without an error.
	_, _ = buffers.Read(buffered)
	p := newPipe(f.server, f.conn, buffers, slices.Concat(buffered, f.conn.take()))
	f.isDecided, f.response = true, p.adopt(f.request, f.header)
	f.server.takenOverCount.Add(1)
	f.server.add(p)
	go p.run()
}

// finish ends the response after the handler has returned or panicked.
func (f *firstRequest) finish() {
	f.conn.unwatch()
	response := f.decide()
	switch {
	case response == nil:
	case f.hasReturned:
		response.finish()
	default:
		response.abort()
	}
}

// decide returns the response that the pipe writes; nil if the http.Server does,
// and then the connection won't be taken over anymore.
func (f *firstRequest) decide() *response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDecided = true
	return f.response
}

// Header returns the headers of the response.
func (f *firstRequest) Header() http.Header { return f.header }

// WriteHeader begins the response.
func (f *firstRequest) WriteHeader(status int) {
	if response := f.decide(); response != nil {
		response.WriteHeader(status)
		return
	}
	f.writer.WriteHeader(status)
}

// Write writes a part of the body.
func (f *firstRequest) Write(p []byte) (int, error) {
	if response := f.decide(); response != nil {
		return response.Write(p)
	}
	return f.writer.Write(p) //nolint:wrapcheck // The wrapper is transparent.
}

// FlushError sends what was written.
func (f *firstRequest) FlushError() error {
	if response := f.decide(); response != nil {
		return response.FlushError()
	}
	return http.NewResponseController(f.writer).Flush() //nolint:wrapcheck // The wrapper is transparent.
}

// Flush sends what was written.
func (f *firstRequest) Flush() { _ = f.FlushError() }

// SetReadDeadline does nothing, since the request has been read.
func (f *firstRequest) SetReadDeadline(time.Time) error { return nil }

// EnableFullDuplex does nothing, since the request has been read.
func (f *firstRequest) EnableFullDuplex() error { return nil }

// SetWriteDeadline bounds the time for sending the response.
func (f *firstRequest) SetWriteDeadline(deadline time.Time) error {
	if response := f.decide(); response != nil {
		return response.SetWriteDeadline(deadline)
	}
	return http.NewResponseController(f.writer).SetWriteDeadline(deadline) //nolint:wrapcheck // The wrapper is transparent.
}
