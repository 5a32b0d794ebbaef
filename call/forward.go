package call

import (
	"cmp"
	"context"
	"encoding/base64"
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

// forwardedCall is what an ingress tells the owner about a call, in the header
// headerCall.
type forwardedCall struct {
	// id is the call's ID, the same in all its attempts.
	id string
	// attempt is the number of the attempt, starting at 1.
	attempt int
	// owner is the member that the call is for; see membership.Member.Instance.
	owner string
	route config.RouteName
	class config.Class
	// caller is the key by which slots are shared fairly among calls; empty if
	// they aren't.
	caller string
	// sourceService is the service on the VM where the call entered; empty if
	// none.
	sourceService config.ServiceName
	// idempotent is set for a call that may run more than once.
	idempotent bool
	// rank is the route's priority; 0 is the highest.
	rank uint32
	// workspace is that of the call's key; zero for a call without one.
	workspace workspaceRef
	// usefulFor is the time left until the route's latency objective, or until
	// the deadline if the route has none. Zero or less when that has passed.
	usefulFor time.Duration
}

// workspaceRef is what the owner is told about the workspace of a call.
type workspaceRef struct {
	// name is empty for a call without a workspace.
	name config.WorkspaceName
	// rank is the workspace's priority, before that of the route; 0 is the
	// highest.
	rank uint32
	// key is the hash of the call's key; zero on a public route, which needs
	// none.
	key config.KeyHash
	// revision is the number of the configuration in which it found it.
	revision uint64
}

// _forwardedFieldCount is the number of fields in the value of the header for a
// call without a workspace, and _workspaceFieldCount that of the fields that
// follow them for a call with one.
const (
	_forwardedFieldCount = 10
	_workspaceFieldCount = 4
)

// _emptyField stands for an empty field in the header's value.
const _emptyField = "-"

// String returns the header's value: fields separated by spaces. No field
// contains a space: names have none, and Ingress.newCall replaces IDs that have
// one.
func (f forwardedCall) String() string {
	const usualBytes = 256
	var buffer [usualBytes]byte
	text := append(buffer[:0], f.id...)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(f.attempt), 10)
	text = appendField(text, f.owner)
	text = appendField(text, string(f.route))
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(f.class), 10)
	text = appendField(text, f.caller)
	text = appendField(text, cmp.Or(string(f.sourceService), _emptyField))
	if f.idempotent {
		text = appendField(text, "1")
	} else {
		text = appendField(text, "0")
	}
	text = append(text, ' ')
	text = strconv.AppendUint(text, uint64(f.rank), 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, f.usefulFor.Milliseconds(), 10)
	return string(f.workspace.appendTo(text))
}

// appendField appends a space and a field.
func appendField(text []byte, field string) []byte {
	return append(append(text, ' '), field...)
}

// appendTo appends the fields that follow those of a call without a workspace. It
// appends none for such a call, so that the header's value is that of earlier
// builds.
func (w workspaceRef) appendTo(text []byte) []byte {
	if w.name == "" {
		return text
	}
	text = appendField(text, url.QueryEscape(string(w.name)))
	text = append(text, ' ')
	text = strconv.AppendUint(text, uint64(w.rank), 10)
	text = append(text, ' ')
	if w.key == (config.KeyHash{}) {
		text = append(text, _emptyField...)
	} else {
		text = base64.RawURLEncoding.AppendEncode(text, w.key[:])
	}
	text = append(text, ' ')
	return strconv.AppendUint(text, w.revision, 10)
}

// parseWorkspaceRef parses the fields that workspaceRef.appendTo appends.
func parseWorkspaceRef(fields []string) (workspaceRef, error) {
	name, err := url.QueryUnescape(fields[0])
	if err != nil {
		return workspaceRef{}, errors.Wrap(err, headerCall)
	}
	rank, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil {
		return workspaceRef{}, errors.Wrap(err, headerCall)
	}
	revision, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return workspaceRef{}, errors.Wrap(err, headerCall)
	}
	w := workspaceRef{name: config.WorkspaceName(name), rank: uint32(rank), revision: revision}
	if fields[2] == _emptyField {
		return w, nil
	}
	if base64.RawURLEncoding.DecodedLen(len(fields[2])) != len(w.key) {
		return workspaceRef{}, errors.Newf("%s has a hash of the wrong length", headerCall)
	}
	if _, err := base64.RawURLEncoding.Decode(w.key[:], []byte(fields[2])); err != nil {
		return workspaceRef{}, errors.Wrap(err, headerCall)
	}
	return w, nil
}

// parseForwardedCall parses the value of headerCall. Ingresses of earlier builds
// send no fields of the workspace. It returns an error when the number of fields
// is wrong or a field is malformed.
func parseForwardedCall(text string) (forwardedCall, error) {
	fields := strings.Split(text, " ")
	if len(fields) != _forwardedFieldCount && len(fields) != _forwardedFieldCount+_workspaceFieldCount {
		return forwardedCall{}, errors.Newf("%s has the wrong number of fields: %d", headerCall, len(fields))
	}
	var parseErr error
	number := func(text string, bits int) int64 {
		n, err := strconv.ParseInt(text, 10, bits)
		parseErr = errors.CombineErrors(parseErr, errors.Wrap(err, headerCall))
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
	if len(fields) > _forwardedFieldCount {
		workspace, err := parseWorkspaceRef(fields[_forwardedFieldCount:])
		f.workspace, parseErr = workspace, errors.CombineErrors(parseErr, err)
	}
	return f, parseErr
}

// attemptID identifies this attempt of the call.
func (f forwardedCall) attemptID() string {
	return f.id + "/" + strconv.Itoa(f.attempt)
}

// newOutgoingRequest returns the request for the next hop, without hop-by-hop
// headers and Lentilferry's own.
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

// forwardableHeaders returns the headers to pass to the next hop.
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
		// An empty value keeps http.Transport from adding its default.
		out["User-Agent"] = []string{""}
	}
	return out
}
