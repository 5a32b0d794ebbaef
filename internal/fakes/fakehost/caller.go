package fakehost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
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
}

// EncodeConfig returns the operator's configuration document, which routes the
// given routes to one service, as the store holds it.
func EncodeConfig(version int, service string, routes []Route) (string, error) {
	paths := make([]map[string]any, 0, len(routes))
	for i, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		paths = append(paths, map[string]any{
			"name": r.Name, "path-prefix": r.PathPrefix, "kind": kind, "timeout": "1500ms", "target-latency": "300ms",
			"priority": i % 2, "service": service, "attempts": 2,
		})
	}
	document, err := json.Marshal(map[string]any{
		"version": version, "services": []map[string]any{{"name": service}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout": "3s", "idle-timeout": "15s"},
		"vhosts": []map[string]any{{"host": Host, "paths": paths}},
	})
	return string(document), errors.Wrap(err, "encode configuration")
}

// Call is one call of a caller.
type Call struct {
	ID, Method, Path string
	Body             []byte
	// Timeout is how long the caller waits, and the deadline that it sends.
	Timeout time.Duration
}

// Response is the outcome of a call as its caller sees it.
type Response struct {
	// Status is the HTTP status, or 0 if the caller got no complete response.
	Status int
	// NotRun is set if the status guarantees that the call did not run.
	NotRun bool
	// Mismatch describes how a success response differs from the one that the
	// call must get. It is empty if they match.
	Mismatch string
	// Err is why there is no complete response.
	Err error
}

// Send sends a call to a node and checks the response.
func Send(ctx context.Context, client *http.Client, node netip.AddrPort, c Call) Response {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+node.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Response{Err: errors.Wrap(err, "build request")}
	}
	// Without GetBody, the client can't resend the call by itself.
	request.GetBody = nil
	request.Host = Host
	request.Header.Set(_headerAttempt, c.ID)
	request.Header.Set(_headerDeadline, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{Err: err}
	}
	result := Response{Status: response.StatusCode}
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
