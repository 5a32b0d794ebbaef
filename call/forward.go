package call

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// forwardedCall is what an ingress tells an owner of a call, in one header.
type forwardedCall struct {
	// id is the call's identity, the same in all its attempts.
	id      string
	attempt int
	// owner is the member that the call is meant for; see membership.Member.Instance.
	owner string
	route config.RouteName
	class config.Class
	// caller groups calls between which slots are shared fairly.
	caller string
	// origin is the service on the VM where the call began; empty for none.
	sourceService config.ServiceName
	// repeatable is set for a call that may be run more than once.
	idempotent bool
	// rank is the route's urgency; 0 is the most urgent.
	rank uint32
	// useful is how much longer an answer is of full use to the caller; not
	// positive when it no longer is.
	usefulFor time.Duration
}

// _forwardedFields is the number of fields of the header.
const _forwardedFieldCount = 10

// _none stands for an empty field.
const _emptyField = "-"

// String returns the header's value. Names have no spaces.
func (f forwardedCall) String() string {
	sourceService := string(f.sourceService)
	if sourceService == "" {
		sourceService = _emptyField
	}
	idempotent := "0"
	if f.idempotent {
		idempotent = "1"
	}
	return f.id + " " + strconv.Itoa(f.attempt) + " " + f.owner + " " + string(f.route) + " " + strconv.Itoa(int(f.class)) + " " + f.caller +
		" " + sourceService + " " + idempotent + " " + strconv.FormatUint(uint64(f.rank), 10) + " " + strconv.FormatInt(f.usefulFor.Milliseconds(), 10)
}

// parseForwarded reads the header's value.
func parseForwardedCall(text string) (forwardedCall, error) {
	fields := strings.Split(text, " ")
	if len(fields) != _forwardedFieldCount {
		return forwardedCall{}, errors.Newf("%s has %d fields", headerCall, len(fields))
	}
	var failure error
	number := func(text string, bits int) int64 {
		n, err := strconv.ParseInt(text, 10, bits)
		failure = errors.CombineErrors(failure, errors.Wrap(err, headerCall))
		return n
	}
	f := forwardedCall{
		id: fields[0], attempt: int(number(fields[1], 32)), owner: fields[2], route: config.RouteName(fields[3]),
		class: config.Class(number(fields[4], 32)), caller: fields[5], sourceService: config.ServiceName(fields[6]),
		idempotent: fields[7] == "1", rank: uint32(number(fields[8], 32)),
		usefulFor: time.Duration(number(fields[9], 64)) * time.Millisecond,
	}
	if f.sourceService == _emptyField {
		f.sourceService = ""
	}
	if f.caller == _emptyField {
		f.caller = ""
	}
	return f, failure
}

// attemptID names one attempt of the call.
func (f forwardedCall) attemptID() string {
	return f.id + "/" + strconv.Itoa(f.attempt)
}

// outgoing returns the request as the next hop gets it: without the headers
// that belong to the connection or to the system.
func newOutgoingRequest(ctx context.Context, r *http.Request, host string, body io.ReadCloser, dialect Dialect) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        forwardableHeaders(r.Header, dialect),
		Body:          preventTransportRetry(r, body),
		ContentLength: r.ContentLength,
		Host:          r.Host,
		Trailer:       r.Trailer,
	}
	return out.WithContext(ctx)
}

// passedOn returns the headers that go on to the next hop.
func forwardableHeaders(h http.Header, dialect Dialect) http.Header {
	const addedHeaders = 4
	out := make(http.Header, len(h)+addedHeaders)
	for name, values := range h {
		if !isHopByHop(name) && !strings.HasPrefix(name, headerPrefix) && !dialect.IsInternal(name) {
			out[name] = values
		}
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		out["User-Agent"] = []string{""}
	}
	return out
}
