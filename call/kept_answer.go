package call

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// _answerKeptMost is the longest answer that is read whole before it is passed
// on, so that one that breaks off can still be told as such.
const _maxBufferedResponseBytes = 256 << 10

// keptBody is an answer's body that was read whole.
type bufferedBody struct{ *bytes.Reader }

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// releasedBody gives its slot back when it is closed.
type slotReleasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body and gives the slot back.
func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

// keepAnswer reads an answer whole if it is short. One in chunks is passed on
// as it comes, since it may be a slow stream.
func bufferResponse(response *http.Response) error {
	if len(response.TransferEncoding) > 0 || response.ContentLength > _maxBufferedResponseBytes {
		return nil
	}
	hasLength := response.ContentLength >= 0
	body, err := io.ReadAll(io.LimitReader(response.Body, _maxBufferedResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if len(body) > _maxBufferedResponseBytes {
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), response.Body), response.Body}
		return nil
	}
	_ = response.Body.Close()
	if !hasLength {
		response.ContentLength = int64(len(body))
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	response.Body = &bufferedBody{bytes.NewReader(body)}
	return nil
}
