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

// isHopByHop reports whether a header belongs to one connection (RFC 9110,
// 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	default:
		return false
	}
}

// isUpgrade reports whether the call asks to change the protocol.
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

// parseRemaining returns the time left that HeaderRemaining states. It returns
// false when the header is absent.
func parseRemaining(h http.Header) (time.Duration, bool, error) {
	text := h.Get(HeaderRemaining)
	if text == "" {
		return 0, false, nil
	}
	remaining, err := ParseMillis(text)
	return remaining, true, errors.Wrap(err, HeaderRemaining)
}

// ParseMillis reads a whole number of milliseconds, not negative.
func ParseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 {
		return 0, errors.Newf("%q is not a number of milliseconds", text)
	}
	if millis > config.MaxTimeout.Milliseconds() {
		return config.MaxTimeout, nil
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// parseDepth returns how many services the call has passed through.
func parseDepth(h http.Header) (int, error) {
	text := h.Get(HeaderDepth)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errors.Newf("%s: %q is not a depth", HeaderDepth, text)
	}
	return n, nil
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// isSafeMethod reports whether a call may be sent again after an unknown
// outcome: it is safe (RFC 9110, 9.2.1), so that running it twice harms
// nobody.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
