package call

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/socket"
)

// EndingCounts counts the close-delimited responses of an upstream by how they
// ended.
type EndingCounts struct {
	// Closed were whole: the upstream closed its side of the connection.
	Closed uint64
	// FailedReading broke off with an error that reading them returned.
	FailedReading uint64
	// FailedSending broke off with an error that sending the request returned.
	FailedSending uint64
	// FailedUnseen broke off with an error that neither returned.
	FailedUnseen uint64
}

// endingCounts is EndingCounts for concurrent use.
type endingCounts struct {
	closed, failedReading, failedSending, failedUnseen atomic.Uint64
}

// EndingCounts returns how the close-delimited responses so far have ended.
func (c *UpstreamClient) EndingCounts() EndingCounts {
	return EndingCounts{
		Closed:        c.endings.closed.Load(),
		FailedReading: c.endings.failedReading.Load(),
		FailedSending: c.endings.failedSending.Load(),
		FailedUnseen:  c.endings.failedUnseen.Load(),
	}
}

// errCutResponse means that the connection failed before the end of a
// close-delimited response.
var errCutResponse = errors.New("upstream connection failed before the end of the response")

// closeDelimitedBody is the body of a response that ends with its connection.
//
// Sending the request and reading the response use the connection at the same
// time, and the kernel returns the error of a reset to only one of them. If
// sending gets it, reading ends as after an orderly close. So io.EOF alone
// doesn't tell that the response is whole.
type closeDelimitedBody struct {
	io.ReadCloser
	conn    *countingConn
	sending *sending
	// callEnded is closed when the context of the call ends.
	callEnded <-chan struct{}
	counts    *endingCounts
	// endErr is the error at the end of the body, io.EOF if it is whole; nil before.
	endErr error
}

// Read reads the body. It returns io.EOF only if the upstream has closed its side
// of the connection, and errCutResponse if the connection failed before. Either
// is returned again by later calls.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.endErr = b.checkEnd()
	default:
		b.counts.failedReading.Add(1)
		b.endErr = err
	}
	return n, b.endErr
}

// checkEnd returns io.EOF if the upstream has closed its side of the connection,
// or why the response is not whole.
func (b *closeDelimitedBody) checkEnd() error {
	ending, err := socket.FindEnding(b.conn.Conn)
	if err != nil {
		// The end of the call's context has closed the connection.
		return err
	}
	if ending == socket.Closed {
		b.counts.closed.Add(1)
		return io.EOF
	}
	// Sending the request got the error, and so ends without delay.
	select {
	case <-b.sending.done:
	case <-b.callEnded:
		return errCutResponse
	}
	// The error that sending returns may hide that of the connection.
	switch err := b.conn.writeErr; {
	case err == nil:
		b.counts.failedUnseen.Add(1)
		return errCutResponse
	case socket.IsAfterClose(err):
		b.counts.closed.Add(1)
		return io.EOF
	default:
		b.counts.failedSending.Add(1)
		return errors.Mark(errors.Wrap(err, errCutResponse.Error()), errCutResponse)
	}
}

// resetCloseDelimited makes closing the connection of an HTTP/1.0 caller a reset.
// A response to it may have no length, and then an orderly close is its regular end.
func resetCloseDelimited(r *http.Request) {
	if conn, ok := Conn(r.Context()); ok && !r.ProtoAtLeast(1, 1) {
		// Fails only on a closed connection.
		_ = socket.ResetOnClose(conn)
	}
}
