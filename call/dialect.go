package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/upstream"
)

// Dialect maps what the call path exchanges with callers and upstreams to HTTP
// headers. It only reads and writes headers and makes no decisions.
type Dialect interface {
	// CallID returns the ID that the caller gave the call; empty if none.
	CallID(h http.Header) string
	// Remaining returns how long the caller still waits for the response. It
	// returns false when the headers don't say, and an error when they are
	// malformed.
	Remaining(h http.Header) (time.Duration, bool, error)
	// Key returns the workspace's key that the caller gave; empty if none.
	Key(h http.Header) string
	// RemoveKey removes what Key reads. It leaves the values of h unchanged, which
	// other requests may share.
	RemoveKey(h http.Header)
	// SetWorkspace sets the header that tells an upstream the call's workspace. It
	// removes the header if the name is empty.
	SetWorkspace(h http.Header, name config.WorkspaceName)
	// SetResult sets the headers of a response that Lentilferry itself gives in
	// place of the upstream's.
	SetResult(h http.Header, result Result)
	// SetUpstreamHeaders sets the headers that an upstream expects in a request.
	SetUpstreamHeaders(h http.Header, u UpstreamHeaders)
	// IsNotRun reports whether an upstream's response says that the upstream did
	// not run the call.
	IsNotRun(status int, h http.Header) bool
	// IsResponseTo reports whether a response belongs to the request with the
	// given headers. It returns true where upstreams don't echo call IDs.
	IsResponseTo(request, response http.Header, status int) bool
	// NamesCall reports whether a response says which call it belongs to. It
	// returns true where upstreams don't echo call IDs.
	NamesCall(response http.Header) bool
	// IsInternal reports whether a header is removed from callers' requests.
	IsInternal(name string) bool
}

// UpstreamHeaders is what Lentilferry adds to a request for the upstream.
type UpstreamHeaders struct {
	// Remaining is the time left for the call.
	Remaining time.Duration
	// Process is the upstream process that the call is for; empty for any.
	Process upstream.ID
	// SourceService is the service on the VM where the call entered; empty if
	// none.
	SourceService config.ServiceName
	// Depth is the number of services that the call has passed through.
	Depth int
}

// NativeDialect is Lentilferry's own dialect. Its headers begin with
// "Lentilferry-".
type NativeDialect struct{}

var _ Dialect = NativeDialect{}

// CallID returns "": callers that use this dialect set no call ID.
func (NativeDialect) CallID(http.Header) string { return "" }

// Remaining reads HeaderRemaining. It returns an error if the value isn't a
// number of milliseconds.
func (NativeDialect) Remaining(h http.Header) (time.Duration, bool, error) {
	return parseRemaining(h)
}

// Key returns the token of the Authorization header; see TokenOf.
func (NativeDialect) Key(h http.Header) string { return TokenOf(h) }

// RemoveKey removes the tokens of the Authorization header.
func (NativeDialect) RemoveKey(h http.Header) { RemoveTokens(h) }

// SetWorkspace sets HeaderWorkspace.
func (NativeDialect) SetWorkspace(h http.Header, name config.WorkspaceName) {
	if name == "" {
		delete(h, HeaderWorkspace)
		return
	}
	h[HeaderWorkspace] = []string{string(name)}
}

// SetResult sets HeaderOutcome and HeaderReason, Retry-After in whole seconds
// when a call that was not run gets the status 503 or 429, and the challenge of
// the status 401.
func (NativeDialect) SetResult(h http.Header, result Result) {
	h.Set(HeaderOutcome, result.Outcome.String())
	h.Set(HeaderReason, string(result.Reason))
	switch status := result.status(); {
	case status == http.StatusUnauthorized:
		SetTokenChallenge(h)
	case result.Outcome == NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		seconds := max(1, int((result.RetryAfter+time.Second-1)/time.Second))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
}

// SetUpstreamHeaders sets HeaderRemaining and HeaderDepth.
func (NativeDialect) SetUpstreamHeaders(h http.Header, u UpstreamHeaders) {
	h[HeaderRemaining] = []string{formatMillis(u.Remaining)}
	h[HeaderDepth] = []string{strconv.Itoa(u.Depth)}
}

// IsNotRun reports whether HeaderOutcome is that of NotRun.
func (NativeDialect) IsNotRun(_ int, h http.Header) bool {
	return h.Get(HeaderOutcome) == NotRun.String()
}

// IsResponseTo returns true: upstreams that use this dialect echo no call ID.
func (NativeDialect) IsResponseTo(_, _ http.Header, _ int) bool { return true }

// NamesCall returns true: upstreams that use this dialect echo no call ID.
func (NativeDialect) NamesCall(http.Header) bool { return true }

// IsInternal reports whether a header is one of Lentilferry's own.
func (NativeDialect) IsInternal(name string) bool {
	return strings.HasPrefix(name, headerPrefix)
}
