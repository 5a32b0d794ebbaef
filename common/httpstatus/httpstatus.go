// Package httpstatus tells HTTP statuses from other numbers of three digits,
// which net/http accepts in responses.
package httpstatus

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that the other end sent something in place of a response: its
// status is no HTTP status.
var ErrInvalid = errors.New("response has an invalid status")

// _min and _max bound the statuses that HTTP defines classes for.
const (
	_min = 100
	_max = 599
)

// Check returns ErrInvalid if the status is none. What follows such a response
// on its connection can't be trusted, so the caller must close the connection.
func Check(status int) error {
	if status < _min || status > _max {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// Transport passes requests on, and closes the connection of each response with
// an invalid status. The error is then ErrInvalid.
type Transport struct {
	Base http.RoundTripper
}

var _ http.RoundTripper = Transport{}

// RoundTrip sends a request and returns its response.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			// A connection without a body to read is kept otherwise.
			_ = conn.Close()
		}
		return nil, err
	}
	return response, nil
}
