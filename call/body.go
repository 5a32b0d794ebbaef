package call

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// _maxReplayBytes is how much of a request's body is kept for a second try.
const _maxReplayBytes = 64 << 10

var (
	// errWriteAnswer marks a failure of the answer's reader.
	errWriteAnswer = errors.New("the reader of the answer went away")
	errBodyClosed  = errors.New("the attempt that reads this body has ended")
)

// replayBody lets several attempts, one after the other, read one request
// body. It keeps what was read until that is over _maxReplayBytes.
type replayBody struct {
	source io.Reader

	mu sync.Mutex
	// kept is what was read from the source so far; nil once it was dropped.
	kept    []byte
	dropped bool
	// end is the error with which the source ended.
	end error
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

// attempt returns the body for one attempt. It is never an http.NoBody and
// has no GetBody, so that the transport does not send the call twice by itself.
func (b *replayBody) attempt() *attemptBody {
	return &attemptBody{body: b}
}

type attemptBody struct {
	body *replayBody
	// offset is how much of the kept bytes this attempt has read.
	offset int
	closed bool
}

var _ io.ReadCloser = (*attemptBody)(nil)

// Read reads what earlier attempts left and then the source.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return 0, errBodyClosed
	}
	if !b.dropped && a.offset < len(b.kept) {
		n := copy(p, b.kept[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.source.Read(p)
	b.end = err
	b.keep(p[:n])
	a.offset += n
	return n, err
}

func (b *replayBody) keep(p []byte) {
	if b.dropped {
		return
	}
	if len(b.kept)+len(p) > _maxReplayBytes {
		b.dropped = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}

// Close ends the attempt's use of the body; the source stays open.
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
func streamsIn(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > _maxDrainBytes
}

// drain reads what is left of a request in full duplex. Without it the server
// may read the connection twice at once when a handler ends before the end of
// the request's body was seen.
func drain(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(_drainTimeout)) != nil {
		return
	}
	_, err := io.CopyN(io.Discard, r.Body, _maxDrainBytes)
	if errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
	}
}

var _buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// copyAnswer sends an answer on. It returns an error when the answer broke
// off, marked errWriteAnswer when its reader went away.
func copyAnswer(w http.ResponseWriter, response *http.Response) error {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
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
	pooled, ok := _buffers.Get().(*[]byte)
	if !ok {
		panic("call: the buffer pool holds something other than a buffer")
	}
	defer _buffers.Put(pooled)
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
				return errors.Mark(errors.Wrap(writeErr, "write answer"), errWriteAnswer)
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
func endIsKnown(r *http.Response) bool {
	return r.ProtoMajor >= 2 || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}
