package call

import (
	"io"
	"net/http"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/crash"
)

// targetOf returns the target of a call that entered at a VM with the given
// service.
func targetOf(r *http.Request, source config.ServiceName) crash.Target {
	return crash.NewTarget(crash.Request{Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), SourceService: source})
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
