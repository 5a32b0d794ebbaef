package call

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// _maxBufferedResponseBytes bounds the responses that are read to their end
// before they are passed on, so that an incomplete one can still be replaced by
// a result with an unknown outcome.
const _maxBufferedResponseBytes = 256 << 10

// bufferedBody is a response body that was read to its end.
type bufferedBody struct{ *bytes.Reader }

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// slotReleasingBody releases the call's slot when it is closed.
type slotReleasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body and releases the slot.
func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

// bufferResponse reads a response to its end if it is short, and replaces its
// body by a bufferedBody. It leaves a chunked response alone, since that may be
// a slow stream. It returns an error when the response is incomplete.
func bufferResponse(response *http.Response) error {
	if len(response.TransferEncoding) > 0 || response.ContentLength > _maxBufferedResponseBytes {
		return nil
	}
	hasLength := response.ContentLength >= 0
	body, err := io.ReadAll(io.LimitReader(response.Body, _maxBufferedResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "read response")
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
