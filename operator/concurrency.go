package operator

import (
	"io"
	"net/http"
	"sync"
)

// _maxConcurrent bounds the requests that are worked on at the same time: a request
// and its response may take several times the size of a configuration.
const _maxConcurrent = 4

// limitConcurrency wraps a handler so that it works on at most _maxConcurrent
// requests at the same time, each from the end of its body to the start of its
// response. So clients that send or read slowly don't keep others waiting. The
// handler must read bodies to their end.
func limitConcurrency(next http.Handler) http.Handler {
	slots := make(chan struct{}, _maxConcurrent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hasSlot := false
		take := sync.OnceFunc(func() {
			select {
			case slots <- struct{}{}:
				hasSlot = true
			case <-r.Context().Done():
			}
		})
		release := sync.OnceFunc(func() {
			if hasSlot {
				<-slots
			}
		})
		defer release()
		body := &observedBody{ReadCloser: r.Body, onEnd: take}
		r = r.WithContext(r.Context())
		r.Body = body
		next.ServeHTTP(&observedWriter{ResponseWriter: w, onStart: release}, r)
	})
}

// observedBody is a request body that calls onEnd when it has ended.
type observedBody struct {
	io.ReadCloser
	onEnd func()
}

// Read reads the body.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.onEnd()
	}
	return n, err //nolint:wrapcheck // The wrapper is transparent.
}

// observedWriter is a response writer that calls onStart before the response begins.
type observedWriter struct {
	http.ResponseWriter
	onStart func()
}

// WriteHeader begins the response.
func (w *observedWriter) WriteHeader(status int) {
	w.onStart()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *observedWriter) Write(p []byte) (int, error) {
	w.onStart()
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // The wrapper is transparent.
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *observedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
