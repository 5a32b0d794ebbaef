package pipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// _unsizedBytes is how much of a body without a length is kept until its end is
	// known, as an http.Server does. A body that ends before gets a length.
	_unsizedBytes = 2 << 10
	// _turnGrace is the least time for sending a response whose deadline has passed
	// while it waited for its turn.
	_turnGrace = time.Second
)

// errBroken means that the response can't be sent.
var errBroken = errors.New("connection of the pipelined request is closed")

// response is the response to one request of a pipe.
type response struct {
	pipe    *pipe
	request *http.Request
	header  http.Header
	cancel  context.CancelFunc
	// requestCost is what is reserved of the budget for the request until the
	// response was sent.
	requestCost int
	// turn is closed when all responses before this one were sent.
	turn chan struct{}
	// isDone is set with the end of the handler.
	isDone atomic.Bool

	// mu is held while the response is written, by its handler or by that of the
	// response before it.
	mu sync.Mutex
	// status is 0 until the response has begun. sent holds the headers as they
	// were then.
	status int
	sent   http.Header
	// length is the declared length of the body; -1 if there is none.
	length int64
	// writtenBytes counts the bytes of the body that the handler wrote.
	writtenBytes int64
	// held is the beginning of the body that was not written yet, and
	// reservedBytes is how many bytes of the budget are reserved for it.
	held          []byte
	reservedBytes int
	// headBytes is how many bytes are reserved for headers that wait for their turn.
	// If the budget had no room for them, mustWait is set, and the handler waits.
	headBytes int
	mustWait  bool
	// isTurn is set when turn is closed. hasHead is set when the headers were
	// written, wantsFlush when the handler has flushed. isBroken is set when a part
	// of the response will never come.
	isTurn, hasHead, wantsFlush, isBroken bool
	// chunks writes the body if it is chunked; nil otherwise.
	chunks io.WriteCloser
	// writeDeadline is the handler's; the zero value if it has set none.
	writeDeadline time.Time
}

var _ http.ResponseWriter = (*response)(nil)

func newResponse(p *pipe, r *http.Request, header http.Header, cancel context.CancelFunc) *response {
	return &response{pipe: p, request: r, header: header, cancel: cancel, turn: make(chan struct{}), length: -1}
}

// Header returns the headers of the response.
func (r *response) Header() http.Header { return r.header }

// WriteHeader begins the response. Informational responses are left out: other
// responses may be before them.
func (r *response) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(status)
}

// writeHeader is WriteHeader for callers that hold r.mu.
func (r *response) writeHeader(status int) {
	if r.status != 0 || status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	r.status, r.sent = status, r.header.Clone()
	if text := r.sent.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err != nil || length < 0 {
			r.sent.Del("Content-Length")
		} else {
			r.length = length
		}
	}
	if isClosing(r.sent) {
		r.pipe.stopTaking()
	}
	r.sent.Del("Connection")
	r.sent.Del("Transfer-Encoding")
	if r.isTurn {
		return
	}
	if size := headerBytes(r.sent); r.pipe.server.deps.Budget.Reserve(size) {
		r.headBytes = size
		r.pipe.server.heldBytes.Add(int64(size))
	} else {
		r.mustWait = true
	}
}

// headerBytes returns the size of headers.
func headerBytes(h http.Header) int {
	// A header line has a colon, a space, CR and LF beside its name and value.
	const perLine = 4
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + perLine
		}
	}
	return size
}

// isClosing reports whether the headers of a response close the connection.
func isClosing(h http.Header) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(token), "close") {
				return true
			}
		}
	}
	return false
}

// mayHaveBody reports whether responses with the status have a body.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write writes a part of the body, or holds it until it is the turn of the
// response. It waits for the turn if the budget has no room for the part.
func (r *response) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.writeHeader(http.StatusOK)
	}
	switch {
	case r.isBroken:
		return 0, errBroken
	case len(p) == 0:
		return 0, nil
	case !mayHaveBody(r.status):
		return 0, http.ErrBodyNotAllowed
	case r.length >= 0 && r.writtenBytes+int64(len(p)) > r.length:
		return 0, http.ErrContentLength
	}
	if r.writtenBytes == 0 && r.request.Method == http.MethodHead {
		r.setContentType(p)
	}
	r.writtenBytes += int64(len(p))
	if r.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !r.isTurn && !r.mustWait && r.hold(p) {
		return len(p), nil
	}
	if err := r.awaitTurn(); err != nil {
		r.isBroken = true
		return 0, err
	}
	return r.writeInTurn(p)
}

// awaitTurn waits until it is the turn of the response, at most until the handler's
// write deadline: a handler that waits may hold a slot of an upstream, for which the
// request whose turn it is may wait. The caller holds r.mu.
func (r *response) awaitTurn() error {
	if r.isTurn {
		return nil
	}
	var expired <-chan time.Time
	if !r.writeDeadline.IsZero() {
		timer := time.NewTimer(time.Until(r.writeDeadline))
		defer timer.Stop()
		expired = timer.C
	}
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-r.turn:
		return nil
	case <-r.request.Context().Done():
		return errBroken
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// hold keeps a part of the body until it is the turn of the response, and returns
// false if the budget has no room for it. The caller holds r.mu.
func (r *response) hold(p []byte) bool {
	if need := len(r.held) + len(p); need > cap(r.held) {
		size := max(need, 2*cap(r.held))
		if r.length >= 0 {
			size = int(min(max(r.length, int64(need)), int64(max(size, _maxHoldAtOnce))))
		}
		if !r.pipe.server.deps.Budget.Reserve(size - r.reservedBytes) {
			return false
		}
		r.pipe.server.heldBytes.Add(int64(size - r.reservedBytes))
		r.reservedBytes = size
		r.held = append(make([]byte, 0, size), r.held...)
	}
	r.held = append(r.held, p...)
	return true
}

// _maxHoldAtOnce bounds the memory that is reserved because of a declared length.
const _maxHoldAtOnce = 256 << 10

// writeInTurn writes a part of the body. The caller holds r.mu.
func (r *response) writeInTurn(p []byte) (int, error) {
	if !r.hasHead && r.length < 0 && !r.wantsFlush && len(r.held)+len(p) <= _unsizedBytes {
		r.held = append(r.held, p...)
		return len(p), nil
	}
	if !r.hasHead {
		r.writeHead(p, false)
	}
	if r.writeBody(p) != nil {
		r.pipe.failWrite()
		return 0, errBroken
	}
	return len(p), nil
}

func (r *response) writeBody(p []byte) error {
	var out io.Writer = r.pipe.out
	if r.chunks != nil {
		out = r.chunks
	}
	_, err := out.Write(p)
	return errors.Wrap(err, "write response")
}

// writeHead writes the headers and what is held of the body. following is the part
// of the body that comes next, and isWhole tells that none does. The caller holds
// r.mu, and it is the turn of the response.
func (r *response) writeHead(following []byte, isWhole bool) {
	r.hasHead = true
	hasBody := mayHaveBody(r.status) && r.request.Method != http.MethodHead
	trailers := r.sent["Trailer"] != nil || hasTrailers(r.header)
	r.setContentType(r.bodyStart(following))
	switch {
	case !mayHaveBody(r.status):
		r.sent.Del("Content-Length")
		if r.status == http.StatusNotModified {
			r.sent.Del("Content-Type")
		}
	case r.length >= 0:
	case isWhole && !trailers && (hasBody || r.isSizedHead()):
		r.sent.Set("Content-Length", strconv.FormatInt(r.writtenBytes, 10))
	case hasBody:
		r.sent.Set("Transfer-Encoding", "chunked")
		r.chunks = httputil.NewChunkedWriter(r.pipe.out)
	}
	if _, ok := r.sent["Date"]; !ok {
		r.sent.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if r.pipe.mustClose(r) {
		r.sent.Set("Connection", "close")
	}
	out := r.pipe.out
	text := http.StatusText(r.status)
	if text == "" {
		text = "status code " + strconv.Itoa(r.status)
	}
	// Errors stay in the writer and come back when it is flushed.
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", r.status, text)
	_ = r.sent.WriteSubset(out, trailerKeys(r.sent))
	_, _ = out.WriteString("\r\n")
	if len(r.held) > 0 {
		_ = r.writeBody(r.held)
	}
	r.releaseHeld()
}

// isSizedHead reports whether the response to a HEAD request states the length of
// what its handler wrote: an http.Server does if that is short and not flushed.
func (r *response) isSizedHead() bool {
	return r.writtenBytes > 0 && r.writtenBytes <= _unsizedBytes && !r.wantsFlush
}

// setContentType detects the type of a body whose handler has stated none. The
// caller holds r.mu.
func (r *response) setContentType(body []byte) {
	_, hasType := r.sent["Content-Type"]
	if !hasType && r.sent.Get("Content-Encoding") == "" && mayHaveBody(r.status) && len(body) > 0 {
		r.sent.Set("Content-Type", http.DetectContentType(body))
	}
}

// bodyStart returns as much of the body as its type is detected from. following is
// the part after what is held.
func (r *response) bodyStart(following []byte) []byte {
	const typeBytes = 512
	start := slices.Clip(r.held[:min(len(r.held), typeBytes)])
	return append(start, following[:min(len(following), typeBytes-len(start))]...)
}

func (r *response) releaseHeld() {
	r.pipe.server.deps.Budget.Release(r.reservedBytes + r.headBytes)
	r.pipe.server.heldBytes.Add(-int64(r.reservedBytes + r.headBytes))
	r.held, r.reservedBytes, r.headBytes = nil, 0, 0
}

// trailerKeys returns the keys of trailers that the handler has set among the
// headers; nil if there are none.
func trailerKeys(h http.Header) map[string]bool {
	var keys map[string]bool
	for key := range h {
		if strings.HasPrefix(key, http.TrailerPrefix) {
			if keys == nil {
				keys = make(map[string]bool)
			}
			keys[key] = true
		}
	}
	return keys
}

func hasTrailers(h http.Header) bool { return trailerKeys(h) != nil }

// trailers returns the trailers that the handler has set.
func (r *response) trailers() http.Header {
	found := make(http.Header)
	for key := range trailerKeys(r.header) {
		found[strings.TrimPrefix(key, http.TrailerPrefix)] = r.header[key]
	}
	for _, value := range r.sent["Trailer"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(textproto.TrimString(name))
			if values, ok := r.header[name]; ok {
				found[name] = values
			}
		}
	}
	return found
}

// FlushError sends what was written, or has it sent when it is the turn of the
// response.
func (r *response) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.writeHeader(http.StatusOK)
	}
	r.wantsFlush = true
	if !r.isTurn {
		r.setContentType(r.bodyStart(nil))
		if _, hasType := r.sent["Content-Type"]; !hasType {
			// What comes after the flush doesn't determine the type.
			r.sent["Content-Type"] = nil
		}
		return nil
	}
	return r.flush()
}

// Flush is FlushError without its error.
func (r *response) Flush() { _ = r.FlushError() }

// flush sends what was written. The caller holds r.mu, and it is the turn of the
// response.
func (r *response) flush() error {
	if !r.hasHead {
		r.writeHead(nil, false)
	}
	if r.pipe.out.Flush() != nil {
		r.pipe.failWrite()
		return errBroken
	}
	return nil
}

// SetReadDeadline does nothing, since the request has been read.
func (r *response) SetReadDeadline(time.Time) error { return nil }

// EnableFullDuplex does nothing, since the request has been read.
func (r *response) EnableFullDuplex() error { return nil }

// SetWriteDeadline bounds the time for sending the response. A response that has
// waited for its turn gets _turnGrace at least.
func (r *response) SetWriteDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeDeadline = deadline
	if r.isTurn {
		r.applyDeadline(time.Now())
	}
	return nil
}

// applyDeadline sets the write deadline of the connection. The caller holds r.mu.
func (r *response) applyDeadline(now time.Time) {
	var deadline time.Time
	if timeout := r.pipe.server.writeTimeout(); timeout > 0 {
		deadline = now.Add(timeout)
	}
	if !r.writeDeadline.IsZero() {
		deadline = r.writeDeadline
		if grace := now.Add(_turnGrace); deadline.Before(grace) {
			deadline = grace
		}
	}
	// Fails only on a closed connection.
	_ = r.pipe.conn.SetWriteDeadline(deadline)
}

// begin makes it the turn of the response, and writes what is held of it. It
// returns true if that is all.
func (r *response) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isTurn = true
	close(r.turn)
	r.applyDeadline(time.Now())
	if r.isDone.Load() {
		r.end()
		return true
	}
	switch {
	case r.wantsFlush:
		_ = r.flush()
	case len(r.held) > 0 && (r.length >= 0 || len(r.held) > _unsizedBytes):
		r.writeHead(nil, false)
	}
	return false
}

// finish ends the response after its handler has returned.
func (r *response) finish() { r.endHandler(false) }

// abort ends the response as one whose rest will never come.
func (r *response) abort() { r.endHandler(true) }

func (r *response) endHandler(isBroken bool) {
	r.mu.Lock()
	r.writeHeader(http.StatusOK)
	if r.mustWait && !isBroken && r.awaitTurn() != nil {
		isBroken = true
	}
	isShort := r.length >= 0 && r.writtenBytes != r.length && mayHaveBody(r.status) && r.request.Method != http.MethodHead
	r.isBroken = r.isBroken || isBroken || isShort
	if r.isBroken {
		r.pipe.cancelAfter(r)
	}
	r.isDone.Store(true)
	isTurn := r.isTurn
	if isTurn {
		r.end()
	} else {
		r.pipe.server.heldCount.Add(1)
	}
	r.mu.Unlock()
	r.cancel()
	if isTurn {
		r.pipe.advance()
	}
}

// end writes the rest of the response, or ends the connection behind what was
// written if the rest will never come. The caller holds r.mu, and it is the turn of the response.
func (r *response) end() {
	if r.isBroken {
		r.releaseHeld()
		if r.pipe.out.Flush() != nil {
			r.pipe.failWrite()
		} else {
			r.pipe.cutOff()
		}
		return
	}
	if !r.hasHead {
		r.writeHead(nil, true)
	}
	if r.chunks != nil {
		_ = r.chunks.Close()
		_ = r.trailers().Write(r.pipe.out)
		_, _ = r.pipe.out.WriteString("\r\n")
	}
}
