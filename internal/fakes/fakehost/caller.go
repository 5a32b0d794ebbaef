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

// Host is the host of all routes of Document.
const Host = "soak.example"

// Route is one route of a configuration.
type Route struct {
	Name, PathPrefix string
	Idempotent       bool
}

// EncodeConfig returns the operator's configuration of the given routes to one
// service, as it stands in the store.
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

// Call is one call as a caller sends it.
type Call struct {
	ID, Method, Path string
	Body             []byte
	Timeout          time.Duration
}

// Response is what a caller got.
type Response struct {
	// Status is 0 when the connection ended without an answer.
	Status int
	// NotRun is set for a status that says that the call has not run.
	NotRun bool
	// Mismatch says what is wrong with a success; empty when it is the call's own.
	Mismatch string
	Err      error
}

// Send sends a call to a node and checks what comes back.
func Send(ctx context.Context, client *http.Client, node netip.AddrPort, c Call) Response {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+node.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Response{Err: errors.Wrap(err, "build call")}
	}
	// A client must not send a call again by itself.
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
	a := Response{Status: response.StatusCode}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.NotRun = true
	case http.StatusOK:
		if seal := response.Header.Get(_headerSeal); seal != "seal-"+c.ID {
			a.Mismatch = "seal " + strconv.Quote(seal)
		} else if !strings.HasPrefix(string(body), HashRequest(c.Method, c.Path, c.Body)+" by ") {
			a.Mismatch = "body " + strconv.Quote(string(body))
		}
	}
	return a
}
