package fakehost

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Host is the host of all routes in EncodeConfig's configuration.
const Host = "soak.example"

// Route is one route of a configuration.
type Route struct {
	Name, PathPrefix string
	Idempotent       bool
	// Public is set if calls need no key.
	Public bool
}

// Tenant is one workspace of a configuration.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
	// Rate is the number of calls a second, and Burst the number of calls beyond
	// it; 0 for no limit.
	Rate  float64 `json:"rate-per-s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// EncodeConfig returns the operator's configuration document, which routes the
// given routes to one service, as the store holds it.
func EncodeConfig(version int, service string, routes []Route, tenants []Tenant) (string, error) {
	paths := make([]map[string]any, 0, len(routes))
	for i, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		paths = append(paths, map[string]any{
			"name": r.Name, "path-prefix": r.PathPrefix, "kind": kind, "timeout": "1500ms", "target-latency": "300ms",
			"priority": i % 2, "service": service, "attempts": 2, "public": r.Public,
		})
	}
	document, err := json.Marshal(map[string]any{
		"version": version, "services": []map[string]any{{"name": service}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout": "3s", "idle-timeout": "15s"},
		"vhosts":  []map[string]any{{"host": Host, "paths": paths}},
		"tenants": tenants,
	})
	return string(document), errors.Wrap(err, "encode configuration")
}

// Call is one call of a caller.
type Call struct {
	ID, Method, Path string
	Body             []byte
	// Timeout is how long the caller waits, and the deadline that it sends.
	Timeout time.Duration
	// Key is the caller's key, empty for none.
	Key string
}

// Response is the outcome of a call as its caller sees it.
type Response struct {
	// Status is the HTTP status, or 0 if the caller got no complete response.
	Status int
	// NotRun is set if the status guarantees that the call did not run.
	NotRun bool
	// Unread is set if the call was pipelined after one whose response closed the
	// connection. The node has not read the call.
	Unread bool
	// Mismatch describes how a response differs from the one that the call must
	// get. It is empty if they match.
	Mismatch string
	// Err is why there is no complete response.
	Err error
}

// Send sends a call to a node and checks the response.
func Send(ctx context.Context, client *http.Client, node netip.AddrPort, c Call) Response {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := newRequest(ctx, node, c)
	if err != nil {
		return Response{Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return checkResponse(response, c)
}

// SendPipelined sends calls on a connection, all at once, and checks the
// responses, which must arrive in the order of the calls. It reports whether the
// connection can be used again. The reader is that of the connection.
func SendPipelined(ctx context.Context, conn net.Conn, reader *bufio.Reader, calls []Call) ([]Response, bool) {
	node, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	var requests bytes.Buffer
	for i := 0; err == nil && i < len(calls); i++ {
		var request *http.Request
		if request, err = newRequest(ctx, node, calls[i]); err == nil {
			err = request.Write(&requests)
		}
	}
	if err == nil {
		_ = conn.SetDeadline(time.Now().Add(calls[0].Timeout))
		_, err = conn.Write(requests.Bytes())
	}
	responses := make([]Response, len(calls))
	closed := false
	for i, c := range calls {
		if err != nil || closed {
			responses[i] = Response{Err: err, Unread: closed}
			continue
		}
		responses[i], closed = receive(reader, c)
		err = responses[i].Err
	}
	return responses, err == nil && !closed
}

// receive reads and checks the response to a pipelined call. It reports whether
// the response closes the connection.
func receive(reader *bufio.Reader, c Call) (result Response, closes bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Response{Err: err}, false
	}
	defer func() { _ = response.Body.Close() }()
	result = checkResponse(response, c)
	return result, response.Close && result.Err == nil
}

// newRequest builds the request of a call to a node.
func newRequest(ctx context.Context, node netip.AddrPort, c Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+node.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody, the client can't resend the call by itself.
	request.GetBody = nil
	request.Host = Host
	request.Header.Set(_headerAttempt, c.ID)
	request.Header.Set(_headerDeadline, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	// The node must replace what a caller sends in this header.
	request.Header.Set(_headerTenant, "forged")
	if c.Key != "" {
		request.Header.Set("Authorization", "Token "+c.Key)
	}
	return request, nil
}

// checkResponse reads and checks the response to a call.
func checkResponse(response *http.Response, c Call) Response {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{Err: err}
	}
	result := Response{Status: response.StatusCode}
	if id := response.Header.Get(_headerAttempt); id != "" && id != c.ID {
		result.Mismatch = "ID " + strconv.Quote(id)
	}
	switch result.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		result.NotRun = true
	case http.StatusOK:
		if seal := response.Header.Get(_headerSeal); seal != "seal-"+c.ID {
			result.Mismatch = "seal " + strconv.Quote(seal)
		} else if !strings.HasPrefix(string(body), HashRequest(c.Method, c.Path, c.Body)+" by ") {
			result.Mismatch = "body " + strconv.Quote(string(body))
		}
	}
	return result
}
