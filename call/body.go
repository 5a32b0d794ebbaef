package call

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// _maxReplayBytes is how much of a request's body is kept for a second try.
const _maxReplayBytes = 64 << 10

var (
	// errWriteAnswer marks a failure of the answer's reader.
	errWriteResponse     = errors.New("the reader of the answer went away")
	errBodyNotReplayable = errors.New("the request's body is too long to be sent again")
	errBodyClosed        = errors.New("the attempt that reads this body has ended")
)

// replayBody lets several attempts, one after the other, read one request
// body. It keeps what was read until that is over _maxReplayBytes.
type replayBody struct {
	source io.Reader
	// reading is held while the source is read, which can take as long as the
	// caller likes. It is taken before mu.
	sourceMu sync.Mutex

	mu sync.Mutex
	// read is how much was read from the source.
	sourceBytes int
	// kept is what was read from the source; nil once it was dropped.
	buffered []byte
	dropped  bool
	// end is the error with which the source ended.
	sourceErr error
}

func newReplayBody(source io.Reader) *replayBody {
	return &replayBody{source: source}
}

// replayable reports whether another attempt can read the body from its start.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped
}

// newAttempt returns the body for one newAttempt. It is never an http.NoBody and
// has no GetBody, so that the transport does not send the call twice by itself.
func (b *replayBody) newAttempt() *attemptBody {
	return &attemptBody{body: b}
}

type attemptBody struct {
	body *replayBody
	// offset is how much this attempt has read.
	offset int
	closed bool
}

var _ io.ReadCloser = (*attemptBody)(nil)

// Read reads what earlier attempts left and then the source.
func (a *attemptBody) Read(p []byte) (int, error) {
	if n, err, done := a.readBuffered(p); done {
		return n, err
	}
	b := a.body
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	// An earlier attempt may have read on meanwhile.
	if n, err, done := a.readBuffered(p); done {
		return n, err
	}
	n, err := b.source.Read(p)
	return a.recordRead(p[:n], err)
}

// readKept reads without the source; done is false when that is not enough.
func (a *attemptBody) readBuffered(p []byte) (n int, err error, done bool) { //nolint:revive // The error is one of three results of equal rank.
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

// took keeps what was read from the source, also for an attempt that was
// closed meanwhile: the next one reads it.
func (a *attemptBody) recordRead(p []byte, err error) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sourceBytes += len(p)
	b.sourceErr = err
	switch {
	case b.dropped:
	case b.sourceBytes > _maxReplayBytes:
		b.dropped = true
		b.buffered = nil
	default:
		b.buffered = append(b.buffered, p...)
	}
	if a.closed {
		return 0, errBodyClosed
	}
	a.offset += len(p)
	return len(p), err
}

// Close ends the attempt's use of the body; the source stays open. It does
// not wait for a read of the source.
func (a *attemptBody) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.closed = true
	return nil
}

const (
	// _maxDrainBytes is how much of a request that nobody wants is read; the
	// server closes the connection of a longer one.
	_maxDrainBytes = 256 << 10
	// _drainTimeout bounds that reading.
	_drainTimeout = time.Second
)

// streamsIn reports whether a request's body is too long to be read through
// before its answer begins.
func needsFullDuplex(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > _maxDrainBytes
}

// limitReading bounds how long a caller may take to send its request. The
// server lifts the limit before the connection's next request.
func setReadDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// A connection that takes no deadline goes without.
		_ = http.NewResponseController(w).SetReadDeadline(deadline.Add(_drainTimeout))
	}
}

// allowEarlyAnswer lets an answer begin before its request was read through.
func enableFullDuplex(w http.ResponseWriter) {
	// Over HTTP/2 this is always so, and the call says that it can't be set.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// drain reads what is left of a request in full duplex. Without it the server
// may read the connection twice at once when a handler ends before the end of
// the request's body was seen.
func drainRequest(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(_drainTimeout)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, r.Body, _maxDrainBytes)
	if errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
	}
}

var _copyBufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// copyAnswer sends an answer on, without the headers that belong to the
// connection or to the system. It returns an error when the answer broke
// off, marked errWriteAnswer when its reader went away.
func copyResponse(w http.ResponseWriter, response *http.Response) error {
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
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	pooled, ok := _copyBufferPool.Get().(*[]byte)
	if !ok {
		panic("call: the buffer pool holds something other than a buffer")
	}
	defer _copyBufferPool.Put(pooled)
	buffer := *pooled
	streams := response.ContentLength < 0
	controller := http.NewResponseController(w)
	if streams {
		// Headers go at once, so that a slow stream is seen to have begun.
		_ = controller.Flush()
	}
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Mark(errors.Wrap(writeErr, "write answer"), errWriteResponse)
			}
			if streams {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}

// endIsKnown reports whether a broken answer can be told from a whole one: it
// has a length or is chunked, or came over HTTP/2.
func isSelfDelimiting(r *http.Response) bool {
	return r.ProtoMajor >= 2 || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
