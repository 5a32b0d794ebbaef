package call

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// isHopByHop reports whether a header applies to one connection only (RFC 9110,
// section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// isUpgrade reports whether the request asks to change the protocol.
func isUpgrade(r *http.Request) bool {
	if r.Method == http.MethodConnect {
		return true
	}
	for _, value := range r.Header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(name), "upgrade") {
				return true
			}
		}
	}
	return false
}

// parseRemaining returns the time left according to HeaderRemaining. It returns
// false when the header is absent, and an error when it is malformed.
func parseRemaining(h http.Header) (time.Duration, bool, error) {
	text := h.Get(HeaderRemaining)
	if text == "" {
		return 0, false, nil
	}
	remaining, err := ParseMillis(text)
	return remaining, true, errors.Wrap(err, HeaderRemaining)
}

// ParseMillis parses a non-negative whole number of milliseconds. Values above
// config.MaxTimeout are lowered to it. It returns an error for any other text.
func ParseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 {
		return 0, errors.Newf("%q is not a non-negative number of milliseconds", text)
	}
	if millis > config.MaxTimeout.Milliseconds() {
		return config.MaxTimeout, nil
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// parseDepth returns the number of services that the call has passed through, 0
// when HeaderDepth is absent. It returns an error when the header is malformed.
func parseDepth(h http.Header) (int, error) {
	text := h.Get(HeaderDepth)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errors.Newf("%s: %q is not a non-negative number", HeaderDepth, text)
	}
	return n, nil
}

// formatMillis returns d in whole milliseconds, 0 if d is negative.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// isSafeMethod reports whether a method is safe (RFC 9110, section 9.2.1).
// Running a call with such a method twice does no harm, so it may be retried
// after an unknown outcome.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
