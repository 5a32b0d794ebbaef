package call

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/socket"
)

// _readAheadBytes is how much is read ahead at once. It is held for as long as the
// caller sends nothing.
const _readAheadBytes = 4 << 10

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext stores an accepted connection in the context of its requests. It is
// the ConnContext hook of the servers of Ingress and Owner, which need it to
// notice that the caller of a long request has left.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Conn returns the connection that ConnContext stored, and whether there is one.
func Conn(ctx context.Context) (net.Conn, bool) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return conn, ok
}

// hasLeft reports whether the caller of an HTTP/1 request that was read to its
// end has closed its connection.
func hasLeft(r *http.Request) bool {
	conn, ok := Conn(r.Context())
	if !ok || r.ProtoMajor != 1 {
		return false
	}
	state, err := socket.Peek(conn)
	return errors.Is(err, net.ErrClosed) || err == nil && state == socket.Ended
}

// newRequestBody returns the body of a request. If the caller has left when the
// body ends, attempts get an error in place of its end, and cancel is called. The
// body must be freed at the end of the call.
func newRequestBody(r *http.Request, budget *BufferBudget, cancel context.CancelFunc) *replayBody {
	b := newReplayBody(r.Body)
	b.budget, b.request, b.cancel = budget, r, cancel
	if mayReadAhead(r) {
		b.startReadAhead()
	}
	return b
}

// mayReadAhead reports whether the body of a request may be read before its call
// is sent. That would make a caller which expects a response first send the body,
// and the server sets announced trailers at the end of the body while they are
// forwarded. A body that is too long to be buffered can't be read to its end.
func mayReadAhead(r *http.Request) bool {
	return r.ContentLength != 0 && r.ContentLength <= _maxReplayBytes && len(r.Trailer) == 0 && r.Header.Get("Expect") == ""
}

// startReadAhead starts readAhead unless that was done before.
func (b *replayBody) startReadAhead() {
	b.readAheadOnce.Do(func() {
		b.readAheadDone = make(chan struct{})
		go b.readAhead()
	})
}

// readAhead reads the body, as far as it can be buffered, before an attempt asks
// for it. A server for HTTP/1 notices that the caller has left only once the body
// was read to its end.
func (b *replayBody) readAhead() {
	defer close(b.readAheadDone)
	buffer := make([]byte, _readAheadBytes)
	for b.readChunkAhead(buffer) {
	}
}

// readChunkAhead reads once from the source and reports whether there is more to
// read ahead.
func (b *replayBody) readChunkAhead(buffer []byte) bool {
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	b.mu.Lock()
	room := min(len(buffer), _maxReplayBytes-b.sourceBytes)
	ended := b.dropped || b.sourceErr != nil
	b.mu.Unlock()
	// The budget is asked first: what was read and has no room would be lost.
	if ended || room <= 0 || !b.budget.Reserve(room) {
		return false
	}
	_, err := b.readSource(buffer[:room], room)
	return err == nil
}
