package call

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// _maxReplayBytes bounds how much of a request body is kept for a retry.
const _maxReplayBytes = 64 << 10

var (
	// errWriteResponse marks errors of writing a response to the caller or the
	// ingress, as opposed to errors of reading it.
	errWriteResponse     = errors.New("response could not be written")
	errBodyNotReplayable = errors.New("request body is too long to be replayed")
	errBodyClosed        = errors.New("request body was closed by its attempt")
	errCallerLeft        = errors.New("caller left before its request was sent")
)

// replayBody lets consecutive attempts read the same request body. It buffers
// what was read from the source, up to _maxReplayBytes.
type replayBody struct {
	source io.Reader
	// budget bounds the buffered bytes of all bodies; nil for no bound.
	budget *BufferBudget
	// request is the request that the body belongs to, and cancel ends its call.
	// They are nil where nobody notices that the caller leaves.
	request *http.Request
	cancel  context.CancelFunc
	// readAheadOnce starts readAhead and sets readAheadDone, which is closed once
	// that has ended.
	readAheadOnce sync.Once
	readAheadDone chan struct{}
	// sourceMu is held while the source is read, which blocks for as long as
	// the caller sends nothing. It is locked before mu.
	sourceMu sync.Mutex

	mu sync.Mutex
	// sourceBytes is the number of bytes read from the source.
	sourceBytes int
	// buffered holds all bytes read from the source; nil once dropped is set. The
	// budget counts them.
	buffered []byte
	// dropped is set when more than _maxReplayBytes were read, when the budget had
	// no room for them and at the end of the call.
	dropped bool
	// sourceErr is the error that ended the source, io.EOF at its regular end.
	sourceErr error
}

func newReplayBody(source io.Reader) *replayBody {
	return &replayBody{source: source}
}

// replayable reports whether another attempt can still read the body from its
// start.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped
}

// hasEnded reports whether the body was read to its end. length is the request's
// content length, -1 if unknown.
func (b *replayBody) hasEnded(length int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sourceErr != nil || int64(b.sourceBytes) == length
}

// newAttempt returns the body for the next attempt. It is never http.NoBody and
// the request gets no GetBody, so that http.Transport doesn't retry the call on
// its own.
func (b *replayBody) newAttempt() *attemptBody {
	return &attemptBody{body: b}
}

// attemptBody is the request body as one attempt reads it.
type attemptBody struct {
	body *replayBody
	// offset is the number of bytes that this attempt has read.
	offset int
	closed bool
}

var _ io.ReadCloser = (*attemptBody)(nil)

// Read reads the buffered bytes first and then from the source.
func (a *attemptBody) Read(p []byte) (int, error) {
	if n, err, done := a.readBuffered(p); done {
		return n, err
	}
	b := a.body
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	// An earlier attempt may have read from the source while this one waited
	// for the lock.
	if n, err, done := a.readBuffered(p); done {
		return n, err
	}
	n, err := b.readSource(p, 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return 0, errBodyClosed
	}
	a.offset += n
	return n, err
}

// readBuffered reads without the source. done is false when the source has to
// be read.
func (a *attemptBody) readBuffered(p []byte) (n int, err error, done bool) { //nolint:revive // done qualifies the other two results, also the error.
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.closed:
		return 0, errBodyClosed, true
	case a.offset < b.sourceBytes && b.dropped:
		return 0, errBodyNotReplayable, true
	case a.offset < b.sourceBytes:
		n = copy(p, b.buffered[a.offset:])
		a.offset += n
		return n, nil, true
	case b.sourceErr != nil:
		return 0, b.sourceErr, true
	default:
		return 0, nil, false
	}
}

// readSource reads from the source and buffers what it has read, also for
// attempts to come. reserved is how many bytes of the budget are reserved for
// that; it is 0 or len(p). The caller holds b.sourceMu.
func (b *replayBody) readSource(p []byte, reserved int) (int, error) {
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(p[:n], reserved)
	if err != nil && errors.Is(err, io.EOF) && b.dropped && b.request != nil && hasLeft(b.request) {
		// The server has not watched the connection while the body was unread.
		n, err = 0, errCallerLeft
		b.cancel()
	}
	b.sourceErr = err
	return n, err
}

// keep buffers bytes that were read from the source. reserved is as for
// readSource. The caller holds b.mu.
func (b *replayBody) keep(p []byte, reserved int) {
	b.sourceBytes += len(p)
	switch {
	case b.dropped || b.sourceBytes > _maxReplayBytes:
		b.budget.Release(reserved)
		b.drop()
	case reserved > 0:
		b.budget.Release(reserved - len(p))
		b.buffered = append(b.buffered, p...)
	case b.budget.Reserve(len(p)):
		b.buffered = append(b.buffered, p...)
	default:
		b.drop()
	}
}

// drop stops buffering. The caller holds b.mu.
func (b *replayBody) drop() {
	b.budget.Release(len(b.buffered))
	b.dropped, b.buffered = true, nil
}

// free releases the buffered bytes at the end of the call.
func (b *replayBody) free() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop()
}

// Close ends the attempt's use of the body and leaves the source open. It
// doesn't wait for a pending read of the source.
func (a *attemptBody) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.closed = true
	return nil
}

const (
	// _maxDrainBytes bounds how much of an unread request body is discarded to
	// keep the connection; the server closes it when the body is longer.
	_maxDrainBytes = 256 << 10
	// _drainTimeout bounds the time for discarding an unread request body.
	_drainTimeout = time.Second
)

// needsFullDuplex reports whether a request body is too long, or of unknown
// length, to be read to its end before the response begins.
func needsFullDuplex(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > _maxDrainBytes
}

// setReadDeadline bounds how long an HTTP/1 caller may take to send its request
// body: until _drainTimeout after the call's deadline. The server resets the
// read deadline before the connection's next request.
func setReadDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// Ignored: a connection that doesn't support deadlines has none.
		_ = http.NewResponseController(w).SetReadDeadline(deadline.Add(_drainTimeout))
	}
}

// endReadsWith ends the reads of a request's body when the context ends, unless
// the body has been read. The returned function ends that, and must be called
// before the handler returns.
func endReadsWith(ctx context.Context, w http.ResponseWriter, r *http.Request, body *replayBody) func() {
	if r.ContentLength == 0 {
		return func() {}
	}
	var mu sync.Mutex
	hasReturned, hasEndedReads := false, false
	endReads := func() {
		mu.Lock()
		defer mu.Unlock()
		// The response writer must not be used once the handler has returned.
		if !hasReturned && !hasEndedReads && !body.hasEnded(r.ContentLength) {
			hasEndedReads = true
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		}
	}
	stop := context.AfterFunc(ctx, endReads)
	return func() {
		stop()
		if ctx.Err() != nil {
			endReads()
		}
		mu.Lock()
		defer mu.Unlock()
		hasReturned = true
		if hasEndedReads && r.ProtoMajor == 1 {
			// A failed read may have canceled the context of the connection's next
			// requests.
			closeAfterResponse(w)
		}
	}
}

// setWriteDeadline bounds how long an HTTP/1 caller may take to read a response
// that is still being received from the upstream: until _drainTimeout after the
// caller's deadline. A caller that stops reading would otherwise hold the
// upstream's slot. The returned function removes the bound.
func setWriteDeadline(w http.ResponseWriter, r *http.Request, response *http.Response, deadline time.Time) func() {
	// A short response may not be buffered, for lack of room in the budget.
	if _, isBuffered := response.Body.(*bufferedBody); isBuffered || r.ProtoMajor != 1 {
		return func() {}
	}
	controller := http.NewResponseController(w)
	// Ignored: a connection that doesn't support deadlines has none.
	_ = controller.SetWriteDeadline(deadline.Add(_drainTimeout))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// enableFullDuplex lets a response begin before the request was read to its
// end.
func enableFullDuplex(w http.ResponseWriter) {
	// Ignored: HTTP/2 is always full duplex and returns an error here.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// drainRequest discards the rest of a request body in full-duplex mode, and has
// the connection closed if its end doesn't arrive. Without it, the server may
// read the connection from two goroutines at once when a handler returns before
// it has read the body to its end, or take what arrives later for a request.
func drainRequest(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(_drainTimeout)) != nil {
		closeAfterResponse(w)
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, _maxDrainBytes); errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
		return
	}
	closeAfterResponse(w)
}

// closeAfterResponse makes the server close the connection after the response,
// and wait a little before it, so that the caller can read the response. That is
// what a body over the limit of http.MaxBytesReader does.
func closeAfterResponse(w http.ResponseWriter) {
	tooLong := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = tooLong.Read(make([]byte, 1))
}

// _copyBufferPool holds *[]byte buffers for copyBody.
var _copyBufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 16<<10)
	return &buffer
}}

// copyResponse writes an upstream's response to w, without hop-by-hop headers
// and Lentilferry's own, at the latest by the deadline; zero for none. It returns an
// error when the response is incomplete; the error is marked errWriteResponse when
// writing failed.
func copyResponse(w http.ResponseWriter, response *http.Response, deadline time.Time) error {
	header := w.Header()
	for name, values := range response.Header {
		if !isHopByHop(name) && !strings.HasPrefix(name, headerPrefix) {
			header[name] = values
		}
	}
	for _, value := range response.Header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response, deadline); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// _stallTimeout bounds the time in which a reader of a response takes none of it
// while the response holds an upstream's slot.
const _stallTimeout = 5 * time.Second

// copyBody copies a response body to w, at the latest by the deadline; zero for none.
// If the response has no length, it flushes after each read.
func copyBody(w http.ResponseWriter, response *http.Response, deadline time.Time) error {
	pooled, ok := _copyBufferPool.Get().(*[]byte)
	if !ok {
		panic("call: copy buffer pool returned an unexpected type")
	}
	defer _copyBufferPool.Put(pooled)
	buffer := *pooled
	streams := response.ContentLength < 0
	isBuffered := isHeld(response)
	controller, hasBegun := http.NewResponseController(w), false
	if streams {
		// Sends the headers at once, since a slow stream may take long to send
		// its first bytes.
		_ = controller.Flush()
	}
	for {
		n, err := response.Body.Read(buffer)
		if hasBegun && !isBuffered {
			// The first write isn't bounded so: it may wait for the response to an
			// earlier request.
			_ = controller.SetWriteDeadline(earliest(deadline, time.Now().Add(_stallTimeout)))
		}
		if n > 0 {
			hasBegun = true
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Mark(errors.Wrap(writeErr, "write response"), errWriteResponse)
			}
			if streams {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
	}
}

// earliest returns the earlier of two times, of which the first may be zero for none.
func earliest(a, b time.Time) time.Time {
	if !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// isSelfDelimiting reports whether an incomplete response can be detected: it
// has a length, is chunked, has no body, or came over HTTP/2.
func isSelfDelimiting(r *http.Response) bool {
	return r.ProtoMajor >= 2 || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
