package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/upstream"
)

// Dialect is how callers and upstreams say in headers what the call path
// needs to know. It names and reads; it decides nothing.
type Dialect interface {
	// CallID returns the identity that the caller gave the call, empty for
	// none.
	CallID(h http.Header) string
	// Remaining returns how long the caller still waits. It returns false
	// when the caller does not say.
	Remaining(h http.Header) (time.Duration, bool, error)
	// SetResult sets the headers of an answer of the system's own.
	SetResult(h http.Header, result Result)
	// SetUpstreamHeaders sets the headers that an upstream expects on a call.
	SetUpstreamHeaders(h http.Header, u UpstreamHeaders)
	// IsNotRun reports whether an upstream's answer says that it did not run
	// the call.
	IsNotRun(status int, h http.Header) bool
	// IsResponseTo reports whether an answer is to the call with the given
	// headers. Upstreams that do not say count as having answered it.
	IsResponseTo(request, response http.Header, status int) bool
	// IsInternal reports whether a header is never taken from a caller.
	IsInternal(name string) bool
}

// UpstreamHeaders is what a call tells the upstream beside what the caller
// sent.
type UpstreamHeaders struct {
	// Remaining is the time left for the call.
	Remaining time.Duration
	// Process is the process that the call is meant for; empty for any.
	Process upstream.ID
	// SourceService is the service on the VM where the call began; empty for none.
	SourceService config.ServiceName
	// Depth is how many services the call has passed through.
	Depth int
}

// NativeDialect is the product's own dialect: the headers that begin with
// Lentilferry-.
type NativeDialect struct{}

var _ Dialect = NativeDialect{}

// CallID returns nothing: the product's own callers give no identities.
func (NativeDialect) CallID(http.Header) string { return "" }

// Remaining reads HeaderRemaining.
func (NativeDialect) Remaining(h http.Header) (time.Duration, bool, error) {
	return parseRemaining(h)
}

// SetResult sets HeaderOutcome, HeaderReason and Retry-After in whole seconds.
func (NativeDialect) SetResult(h http.Header, result Result) {
	h.Set(HeaderOutcome, result.Outcome.String())
	h.Set(HeaderReason, string(result.Reason))
	if result.Outcome == NotRun && result.status() == http.StatusServiceUnavailable {
		seconds := max(1, int((result.RetryAfter+time.Second-1)/time.Second))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
}

// SetUpstreamHeaders sets HeaderRemaining and HeaderDepth.
func (NativeDialect) SetUpstreamHeaders(h http.Header, u UpstreamHeaders) {
	h[HeaderRemaining] = []string{formatMillis(u.Remaining)}
	h[HeaderDepth] = []string{strconv.Itoa(u.Depth)}
}

// IsNotRun reads HeaderOutcome.
func (NativeDialect) IsNotRun(_ int, h http.Header) bool {
	return h.Get(HeaderOutcome) == NotRun.String()
}

// IsResponseTo returns true: the product's own upstreams echo no identity.
func (NativeDialect) IsResponseTo(_, _ http.Header, _ int) bool { return true }

// IsInternal reports whether a header is the product's own.
func (NativeDialect) IsInternal(name string) bool {
	return strings.HasPrefix(name, headerPrefix)
}
