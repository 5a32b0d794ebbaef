package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
)

// _prefetchTimeout bounds reading a request's body before the call is sent.
const _prefetchTimeout = time.Second

// targetOf returns the target of a call that entered at a VM with the given
// service.
func targetOf(r *http.Request, source config.ServiceName) crash.Target {
	return crash.NewTarget(crash.Request{Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), SourceService: source})
}

// describe returns what operators are shown of a call's target.
func describe(r *http.Request) string {
	const maxLength = 120
	text := r.Method + " " + r.Host + r.URL.EscapedPath()
	return text[:min(maxLength, len(text))]
}

// contentOf returns the content of a call, and false if its body was not read to
// its end or is too long to be kept.
func contentOf(target crash.Target, body *replayBody, length int64) (crash.Content, bool) {
	read, complete := body.whole(length)
	if !complete {
		return crash.Content{}, false
	}
	return crash.NewContent(target, read), true
}

// whole returns the request body if all of its bytes are buffered. length is the
// request's content length, -1 if unknown.
func (b *replayBody) whole(length int64) ([]byte, bool) {
	if length == 0 {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	complete := b.sourceErr == io.EOF || length > 0 && int64(b.sourceBytes) == length //nolint:errorlint // A reader returns io.EOF itself.
	return b.buffered, complete && !b.dropped
}

// prefetch waits for up to _prefetchTimeout until a body that is short enough to
// be buffered was read. What was read, attempts read from the buffer. An error is
// kept for the attempts, which then return it too.
func (b *replayBody) prefetch(ctx context.Context, length int64) {
	if length == 0 || length > _maxReplayBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _prefetchTimeout)
	defer cancel()
	b.startReadAhead()
	select {
	case <-b.readAheadDone:
	case <-ctx.Done():
	}
}
