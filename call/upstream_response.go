package call

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// responseBody is a response's body. Closing it returns the connection to the
// client.
type responseBody struct {
	io.ReadCloser
	client   *UpstreamClient
	conn     *upstreamConn
	response *http.Response
	// stopCancel keeps the end of the context from closing the connection. It
	// returns false when that has already happened.
	stopCancel func() bool
	sending    *sending
	// reachedEOF is set once the body was read to its end.
	reachedEOF bool
	closeOnce  sync.Once
}

// Read reads the body and records its end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
	}
	return n, err
}

// Close returns the connection to the client if the body was read to its end
// and the whole request was sent, and closes it otherwise.
func (b *responseBody) Close() error {
	b.closeOnce.Do(func() {
		// While the request is still being sent, the upstream would take the next
		// call for the rest of its body.
		if b.stopCancel() && b.reachedEOF && b.sending.hasSucceeded() {
			b.client.putIdle(b.conn, b.response)
		} else {
			_ = b.conn.Close()
		}
	})
	return nil
}
