package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"lentilferry.example/lentilferry/intake"
)

// findNext looks for the next request in what was read. A request is parsed only
// when its header section has arrived whole, and left to the http.Server when
// anything about it is unusual, so that it is answered there.
func (p *pipe) findNext() {
	if p.next != nil || p.mustWait {
		return
	}
	p.skipBlanks()
	end := bytes.Index(p.in, _headEnd)
	if end < 0 {
		return
	}
	end += len(_headEnd)
	cost := int(intake.HeaderCost(p.in[:end])) + _requestBytes
	if !p.server.deps.Budget.Reserve(cost) {
		p.mustWait = true
		return
	}
	if p.parseNext(end) {
		p.nextCost += cost
	} else {
		p.server.deps.Budget.Release(cost)
	}
}

// parseNext sets the next request, whose header section has the given length. It
// returns false if the request has not arrived whole or is left to the http.Server.
func (p *pipe) parseNext(end int) bool {
	section := bytes.NewReader(p.in[:end])
	p.parser.Reset(section)
	request, err := http.ReadRequest(p.parser)
	// A section whose lines end with a line feed only ends before _headEnd.
	isWhole := section.Len() == 0 && p.parser.Buffered() == 0
	if err != nil || !isWhole || !isPlain(request) || !isWellFormed(request) ||
		end > p.server.maxHeaderBytes() || end+int(request.ContentLength) > _aheadBytes {
		p.mustWait = true
		return false
	}
	bodyBytes := int(request.ContentLength)
	if len(p.in) < end+bodyBytes {
		return false
	}
	request.RemoteAddr = p.conn.RemoteAddr().String()
	if !p.server.deps.IsIdempotent(request) || !p.server.deps.Budget.Reserve(bodyBytes) {
		p.mustWait = true
		return false
	}
	request.Body = http.NoBody
	if bodyBytes > 0 {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(p.in[end : end+bodyBytes])))
	}
	p.next, p.nextBytes, p.nextCost = request, end+bodyBytes, bodyBytes
	return true
}

// _maxBlankBytes bounds the empty lines that are skipped after a POST request, as an
// http.Server does for callers that end bodies with a line break.
const _maxBlankBytes = 4

func (p *pipe) allowBlanks(last *http.Request) {
	p.blankBytes = 0
	if last.Method == http.MethodPost {
		p.blankBytes = _maxBlankBytes
	}
}

// skipBlanks removes empty lines before the next request.
func (p *pipe) skipBlanks() {
	for ; p.blankBytes > 0 && len(p.in) > 0; p.blankBytes-- {
		if p.in[0] != '\r' && p.in[0] != '\n' {
			p.blankBytes = 0
			return
		}
		p.in = p.in[1:]
	}
}

// isWellFormed reports whether a request passes the checks that an http.Server
// makes beyond http.ReadRequest. It may return false for one that passes.
func isWellFormed(r *http.Request) bool {
	for _, b := range []byte(r.Host) {
		isLetter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !isLetter && strings.IndexByte("-._:[]", b) < 0 {
			return false
		}
	}
	for name := range r.Header {
		if strings.Contains(name, " ") {
			return false
		}
	}
	return r.Host != "" && strings.HasPrefix(r.RequestURI, "/")
}
