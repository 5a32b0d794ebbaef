package call

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// errRequestBodyTooLarge means that a body without a length exceeds the
// configured limit.
var errRequestBodyTooLarge = errors.New("request body exceeds the configured limit")

// limitedBody is a request body that may have only so many bytes. Unlike with
// http.MaxBytesReader, the limit may be reached while another goroutine writes
// the response. It is safe for concurrent use.
type limitedBody struct {
	source io.ReadCloser

	mu sync.Mutex
	// left is the number of bytes that may still be read.
	left int64
}

var _ io.ReadCloser = (*limitedBody)(nil)

// newLimitedBody returns a body of at most limit bytes.
func newLimitedBody(source io.ReadCloser, limit int64) *limitedBody {
	return &limitedBody{source: source, left: limit}
}

// Read reads the body. It returns errRequestBodyTooLarge at the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(len(p)) > b.left {
		// One byte more tells whether the body ends at the limit.
		p = p[:b.left+1]
	}
	n, err := b.source.Read(p)
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, errRequestBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// Close closes the source.
func (b *limitedBody) Close() error {
	return b.source.Close()
}
