package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/httpstatus"
)

// Limits of calls to the platform.
const (
	// DefaultCallTimeout is the default timeout of a read or write.
	DefaultCallTimeout = 3 * time.Second
	// DefaultWatchTimeout is the default time that a watch waits for events. A
	// watch that no longer receives any delays a revision by at most this time.
	DefaultWatchTimeout = 8 * time.Second
	// _watchSlack is how much longer the client waits for a watch than the
	// server holds it.
	_watchSlack = time.Second
	// _maxResponseBytes is the maximum size of a response, also of a list, in
	// bytes.
	_maxResponseBytes = 16 << 20
)

// HTTPClient calls the object API over HTTP. It sends each call once and leaves
// retries to the caller. It is safe for concurrent use.
type HTTPClient struct {
	base         *url.URL
	client       *http.Client
	callTimeout  time.Duration
	watchTimeout time.Duration
}

// HTTPDependencies are what an HTTPClient is built from.
type HTTPDependencies struct {
	// Base is the base URL of the object API.
	Base *url.URL
	// Transport sends the calls.
	Transport http.RoundTripper
	// CallTimeout is the timeout of a read or write; 0 selects
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchTimeout is how long a watch waits for events; 0 selects
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
}

// NewHTTPClient returns a client of the object API.
func NewHTTPClient(d HTTPDependencies) *HTTPClient {
	if d.CallTimeout == 0 {
		d.CallTimeout = DefaultCallTimeout
	}
	if d.WatchTimeout == 0 {
		d.WatchTimeout = DefaultWatchTimeout
	}
	return &HTTPClient{
		base:         d.Base,
		client:       &http.Client{Transport: httpstatus.Transport{Base: d.Transport}},
		callTimeout:  d.CallTimeout,
		watchTimeout: d.WatchTimeout,
	}
}

// WireObject is the JSON form of an object.
type WireObject struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// WireList is the JSON form of a list or of a watch's events.
type WireList struct {
	Objects []WireObject `json:"objects"`
	Next    uint64       `json:"next"`
}

// ToWire returns the JSON form of an object.
func ToWire(o Object) WireObject {
	return WireObject{Kind: string(o.Key.Kind), Name: o.Key.Name, Version: o.Version, Value: o.Value}
}

func fromWire(w WireObject) Object {
	return Object{Key: Key{Kind: Kind(w.Kind), Name: w.Name}, Version: w.Version, Value: w.Value}
}

// Get reads one object. The error is ErrNotFound or ErrUnavailable.
func (c *HTTPClient) Get(ctx context.Context, key Key) (Object, error) {
	var w WireObject
	if err := c.read(ctx, c.callTimeout, objectPath(key), nil, &w); err != nil {
		return Object{}, err
	}
	return fromWire(w), nil
}

// ListStale is the same as List: this API has no cheaper, possibly stale
// reads.
func (c *HTTPClient) ListStale(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	return c.List(ctx, kind)
}

// List reads all objects of a kind and returns them with the version to watch
// from. The error is ErrUnavailable.
func (c *HTTPClient) List(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	var w WireList
	if err := c.read(ctx, c.callTimeout, "/v1/objects/"+url.PathEscape(string(kind)), nil, &w); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, 0, len(w.Objects))
	for _, o := range w.Objects {
		objects = append(objects, fromWire(o))
	}
	return objects, w.Next, nil
}

// Watch waits for changes of a kind after a version. It returns no events when
// there are none within the watch timeout. The error is ErrCompacted or
// ErrUnavailable.
func (c *HTTPClient) Watch(ctx context.Context, kind Kind, after uint64) (EventBatch, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"timeout": {c.watchTimeout.String()},
	}
	var w WireList
	err := c.read(ctx, c.watchTimeout+_watchSlack, "/v1/watch/"+url.PathEscape(string(kind)), query, &w)
	if err != nil {
		return EventBatch{}, err
	}
	batch := EventBatch{Next: w.Next}
	for _, o := range w.Objects {
		batch.Events = append(batch.Events, Event{Object: fromWire(o), Deleted: o.Deleted})
	}
	return batch, nil
}

// Create writes an object if it doesn't exist yet.
func (c *HTTPClient) Create(ctx context.Context, key Key, value []byte) WriteOutcome {
	header := http.Header{"If-None-Match": {"*"}}
	return c.write(ctx, http.MethodPut, key, header, value)
}

// Update writes an object if it still has the given version.
func (c *HTTPClient) Update(ctx context.Context, key Key, version uint64, value []byte) WriteOutcome {
	return c.write(ctx, http.MethodPut, key, ifMatch(version), value)
}

// Delete removes an object if it still has the given version.
func (c *HTTPClient) Delete(ctx context.Context, key Key, version uint64) WriteOutcome {
	return c.write(ctx, http.MethodDelete, key, ifMatch(version), nil)
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.FormatUint(version, 10)}}
}

func objectPath(key Key) string {
	return "/v1/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

func (c *HTTPClient) read(ctx context.Context, timeout time.Duration, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrapf(err, "build request for %s", path)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read %s", path), ErrUnavailable)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return errors.Wrapf(ErrNotFound, "read %s", path)
	case http.StatusGone:
		return errors.Wrapf(ErrCompacted, "read %s", path)
	default:
		return errors.Wrapf(ErrUnavailable, "read %s: status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, _maxResponseBytes)).Decode(into); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode %s", path), ErrUnavailable)
	}
	return nil
}

func (c *HTTPClient) write(ctx context.Context, method string, key Key, header http.Header, value []byte) WriteOutcome {
	if len(value) > MaxValueBytes {
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(ErrTooLarge, "%s has %d bytes", key, len(value))}
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	target := c.base.JoinPath(objectPath(key))
	request, err := http.NewRequestWithContext(ctx, method, target.String(), onceReader{bytes.NewReader(value)})
	if err != nil {
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(err, "build write of %s", key)}
	}
	request.ContentLength = int64(len(value))
	request.Header = header
	response, err := c.client.Do(request)
	if err != nil {
		return WriteOutcome{Result: Unknown, Err: errors.Mark(errors.Wrapf(err, "write %s", key), ErrUnavailable)}
	}
	defer func() { _ = response.Body.Close() }()
	return writeOutcome(key, response)
}

// onceReader hides the concrete type of a reader, so that the transport can't
// rewind the body and send the write a second time.
type onceReader struct{ io.Reader }

// writeOutcome maps the response to a write to its outcome. A response that
// doesn't say whether the write took effect gives Unknown.
func writeOutcome(key Key, response *http.Response) WriteOutcome {
	switch response.StatusCode {
	case http.StatusOK:
		var w WireObject
		if err := json.NewDecoder(io.LimitReader(response.Body, _maxResponseBytes)).Decode(&w); err != nil {
			return WriteOutcome{Result: Unknown, Err: errors.Mark(errors.Wrapf(err, "decode write of %s", key), ErrUnavailable)}
		}
		return WriteOutcome{Result: Written, Version: w.Version}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(ErrConflict, "write %s", key)}
	case http.StatusNotFound:
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(ErrNotFound, "write %s", key)}
	case http.StatusRequestEntityTooLarge:
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(ErrTooLarge, "write %s", key)}
	case http.StatusTooManyRequests:
		return WriteOutcome{Result: NotWritten, Err: errors.Wrapf(ErrUnavailable, "write %s: rate limit exceeded", key)}
	default:
		err := errors.Wrap(ErrUnavailable, fmt.Sprintf("write %s: status %d", key, response.StatusCode))
		return WriteOutcome{Result: Unknown, Err: err}
	}
}
