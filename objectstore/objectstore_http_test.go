package objectstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/objectstore"
)

var _key = objectstore.Key{Kind: "kind", Name: "a/b c"}

func newClient(t *testing.T, handler http.Handler) *objectstore.HTTPClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	base, err := url.Parse(server.URL)
	assert.NilError(t, err)
	return objectstore.NewHTTPClient(objectstore.HTTPDependencies{
		Base: base, Transport: &http.Transport{}, CallTimeout: 300 * time.Millisecond, WatchTimeout: 300 * time.Millisecond,
	})
}

func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	c := newClient(t, fakeplatform.New().Handler())
	_, err := c.Get(ctx, _key)
	assert.Assert(t, errors.Is(err, objectstore.ErrNotFound))
	created := c.Create(ctx, _key, []byte("one"))
	assert.Equal(t, created.Result, objectstore.Written, "%v", created.Err)
	again := c.Create(ctx, _key, []byte("other"))
	assert.Equal(t, again.Result, objectstore.NotWritten)
	assert.Assert(t, errors.Is(again.Err, objectstore.ErrConflict))
	updated := c.Update(ctx, _key, created.Version, []byte("two"))
	assert.Equal(t, updated.Result, objectstore.Written)
	assert.Equal(t, c.Update(ctx, _key, created.Version, []byte("late")).Result, objectstore.NotWritten)
	object, err := c.Get(ctx, _key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "two")
	assert.Equal(t, object.Version, updated.Version)
	objects, next, err := c.List(ctx, "kind")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, next, updated.Version)
	assert.Equal(t, c.Delete(ctx, _key, created.Version).Result, objectstore.NotWritten)
	assert.Equal(t, c.Delete(ctx, _key, updated.Version).Result, objectstore.Written)
	large := c.Create(ctx, _key, make([]byte, objectstore.MaxValueBytes+1))
	assert.Equal(t, large.Result, objectstore.NotWritten)
	assert.Assert(t, errors.Is(large.Err, objectstore.ErrTooLarge))
}

func TestWatch(t *testing.T) {
	ctx := context.Background()
	p := fakeplatform.New()
	c := newClient(t, p.Handler())
	batch, err := c.Watch(ctx, "kind", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 0, "a watch without events must end by itself")
	created := p.Create(ctx, _key, []byte("one"))
	p.Delete(ctx, _key, created.Version)
	p.SetFaults(fakeplatform.Faults{ReverseEvents: true})
	batch, err = c.Watch(ctx, "kind", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 2)
	assert.Assert(t, batch.Events[0].Deleted && !batch.Events[1].Deleted)
	p.CompactHistory()
	_, err = c.Watch(ctx, "kind", 0)
	assert.Assert(t, errors.Is(err, objectstore.ErrCompacted))
}

// A write whose effect can't be known has the result Unknown: when the platform
// is down or slow, or loses responses. Reads fail with ErrUnavailable while it
// is down or slow.
func TestWriteResultsUnderFaults(t *testing.T) {
	ctx := context.Background()
	p := fakeplatform.New()
	c := newClient(t, p.Handler())
	for _, f := range []fakeplatform.Faults{{Down: true}, {LoseResponses: true}, {Delay: time.Second}} {
		p.SetFaults(f)
		outcome := c.Create(ctx, _key, []byte("x"))
		assert.Equal(t, outcome.Result, objectstore.Unknown)
		assert.Assert(t, errors.Is(outcome.Err, objectstore.ErrUnavailable))
		if f.LoseResponses {
			continue
		}
		_, err := c.Get(ctx, _key)
		assert.Assert(t, errors.Is(err, objectstore.ErrUnavailable))
		_, err = c.Watch(ctx, "kind", 0)
		assert.Assert(t, f.Delay > 0 || errors.Is(err, objectstore.ErrUnavailable))
	}
	p.SetFaults(fakeplatform.Faults{})
	object, err := c.Get(ctx, _key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "x", "the write whose response was lost must have taken effect")
}

// A write is sent only once, although net/http's transport may send a request
// with a rewindable body again when a reused connection breaks.
func TestWriteIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"version": 1}`))
	}))
	assert.Equal(t, c.Create(context.Background(), _key, nil).Result, objectstore.Written)
	assert.Equal(t, c.Update(context.Background(), _key, 1, nil).Result, objectstore.Unknown)
	assert.Equal(t, calls.Load(), int64(2))
}

// A response that can't be decoded says nothing about the object.
func TestInvalidResponse(t *testing.T) {
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}))
	assert.Equal(t, c.Create(context.Background(), _key, nil).Result, objectstore.Unknown)
	_, err := c.Get(context.Background(), _key)
	assert.Assert(t, errors.Is(err, objectstore.ErrUnavailable))
}
