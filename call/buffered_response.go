package call

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// _maxBufferedResponseBytes bounds the responses that are read to their end
// before they are passed on, so that an incomplete one can still be replaced by
// a result with an unknown outcome.
const _maxBufferedResponseBytes = 256 << 10

// _mediaTypeEventStream is the media type of server-sent events.
const _mediaTypeEventStream = "text/event-stream"

// bufferedBody is a response body that was read to its end. Closing it returns
// its bytes to the budget.
type bufferedBody struct {
	*bytes.Reader
	held heldBytes
}

// Close returns the body's bytes to the budget.
func (b *bufferedBody) Close() error {
	b.held.release()
	return nil
}

// isHeld reports whether a response was read to its end and is held in memory.
func isHeld(response *http.Response) bool {
	_, ok := response.Body.(*bufferedBody)
	return ok
}

// prefixedBody is a response body of which only the beginning was read. The
// beginning returns to the budget once it was passed on.
type prefixedBody struct {
	prefix *bytes.Reader
	held   heldBytes
	rest   io.ReadCloser
}

// Read reads the beginning, and the rest after it.
func (b *prefixedBody) Read(p []byte) (int, error) {
	if b.prefix != nil && b.prefix.Len() > 0 {
		return b.prefix.Read(p)
	}
	b.prefix = nil
	b.held.release()
	return b.rest.Read(p)
}

// Close closes the rest.
func (b *prefixedBody) Close() error {
	b.held.release()
	return b.rest.Close()
}

// slotReleasingBody releases the call's slot when it is closed.
type slotReleasingBody struct {
	io.ReadCloser
	// release is told whether the body was read to its end.
	release func(isWhole bool)
	isWhole bool
}

// Read reads the body.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.isWhole = b.isWhole || errors.Is(err, io.EOF)
	return n, err //nolint:wrapcheck // The wrapper is transparent.
}

// Close closes the body and releases the slot.
func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release(b.isWhole)
	return err
}

// isEventStream reports whether a response is a stream of events, which may
// last until its caller leaves.
func isEventStream(response *http.Response) bool {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), _mediaTypeEventStream)
}

// bufferResponse reads a response to its end if it is short, and replaces its
// body by a bufferedBody. Once the caller has got a part of a response, only
// closing the caller's connection can show that the rest is missing. Event
// streams, long responses and those for which the budget has no room are left to
// be passed on as they arrive. When the response is incomplete, bufferResponse
// closes it and returns an error.
func bufferResponse(response *http.Response, budget *BufferBudget) error {
	if _, done := response.Body.(*bufferedBody); done || response.ContentLength > _maxBufferedResponseBytes || isEventStream(response) {
		return nil
	}
	body, held, err := readResponse(response, budget)
	if errors.Is(err, errNotBuffered) {
		response.Body = &prefixedBody{prefix: bytes.NewReader(body), held: held, rest: response.Body}
		return nil
	}
	if err != nil {
		held.release()
		_ = response.Body.Close()
		return errors.Wrap(err, "read response")
	}
	_ = response.Body.Close()
	response.Body = &bufferedBody{Reader: bytes.NewReader(body), held: held}
	if response.ContentLength < 0 && len(response.Trailer) == 0 && !isHead(response) {
		response.TransferEncoding = nil
		response.ContentLength = int64(len(body))
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return nil
}

// errNotBuffered means that a response is too long to be buffered, or that the
// budget has no room for it.
var errNotBuffered = errors.New("response is not buffered")

// _minBufferBytes is the size of the first buffer for a response without a length.
const _minBufferBytes = 4 << 10

// readResponse reads the body of a response to its end, at most
// _maxBufferedResponseBytes, and returns it with the reservation for it. If the
// error is errNotBuffered, the body goes on after the returned bytes.
func readResponse(response *http.Response, budget *BufferBudget) ([]byte, heldBytes, error) {
	held := heldBytes{budget: budget}
	size := _minBufferBytes
	if response.ContentLength >= 0 && !isHead(response) {
		// One byte more, so that the end is read, too.
		size = int(response.ContentLength) + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > _maxBufferedResponseBytes || !held.add(size-cap(body)) {
				return body, held, errNotBuffered
			}
			body = append(make([]byte, 0, size), body...)
			size = min(2*size, _maxBufferedResponseBytes+1)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			return nil, held, err
		}
	}
}

// isHead reports whether a response is to a HEAD request, whose length is not
// that of its body.
func isHead(response *http.Response) bool {
	return response.Request != nil && response.Request.Method == http.MethodHead
}
