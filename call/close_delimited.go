package call

import (
	"io"
	"net"
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

// closeDelimitedBody is the body of a response that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	client  *UpstreamClient
	conn    net.Conn
	sending *sending
	// hasEnded is set once Read has returned an error.
	hasEnded bool
}

// Read reads the body and counts how it ends.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.hasEnded {
		b.hasEnded = true
		b.count(err)
	}
	return n, err
}

func (b *closeDelimitedBody) count(readErr error) {
	counts := &b.client.endings
	if !errors.Is(readErr, io.EOF) {
		counts.failedReading.Add(1)
		return
	}
	ending, err := socket.FindEnding(b.conn)
	switch {
	case err == nil && ending == socket.Closed:
		counts.closed.Add(1)
	case b.sending.hasSucceeded():
		counts.failedUnseen.Add(1)
	default:
		counts.failedSending.Add(1)
	}
}
