package fakeplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/objectstore"
)

const (
	// _maxWatchDuration is how long a watch waits for events at most.
	_maxWatchDuration = time.Minute
	// _statusUnknownOutcome is the status of a write whose outcome the client
	// can't know.
	_statusUnknownOutcome = http.StatusBadGateway
)

// Handler serves the object API over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", p.serveList)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.serveGet)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.serveDelete)
	mux.HandleFunc("GET /v1/watch/{kind}", p.serveWatch)
	return mux
}

func keyOf(r *http.Request) objectstore.Key {
	return objectstore.Key{Kind: objectstore.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := p.Get(r.Context(), keyOf(r))
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, objectstore.ToWire(object))
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	objects, next, err := p.List(r.Context(), objectstore.Kind(r.PathValue("kind")))
	if err != nil {
		writeReadError(w, err)
		return
	}
	list := objectstore.WireList{Next: next}
	for _, o := range objects {
		list.Objects = append(list.Objects, objectstore.ToWire(o))
	}
	writeJSON(w, list)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after is not a number", http.StatusBadRequest)
		return
	}
	limit, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil || limit > _maxWatchDuration {
		limit = _maxWatchDuration
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	events, err := p.Watch(ctx, objectstore.Kind(r.PathValue("kind")), after)
	if err != nil {
		writeReadError(w, err)
		return
	}
	list := objectstore.WireList{Next: events.Next}
	for _, e := range events.Events {
		wire := objectstore.ToWire(e.Object)
		wire.Deleted = e.Deleted
		list.Objects = append(list.Objects, wire)
	}
	writeJSON(w, list)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes))
	if err != nil {
		http.Error(w, "value can't be read or is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		writeOutcome(w, p.Create(r.Context(), keyOf(r), value))
		return
	}
	version, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is not a version", http.StatusBadRequest)
		return
	}
	writeOutcome(w, p.Update(r.Context(), keyOf(r), version, value))
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is not a version", http.StatusBadRequest)
		return
	}
	writeOutcome(w, p.Delete(r.Context(), keyOf(r), version))
}

// writeJSON writes a response with the body in JSON.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeOutcome writes the response of a create, update or delete.
func writeOutcome(w http.ResponseWriter, outcome objectstore.WriteOutcome) {
	switch outcome.Result {
	case objectstore.Written:
		writeJSON(w, objectstore.WireObject{Version: outcome.Version})
	case objectstore.NotWritten:
		http.Error(w, outcome.Err.Error(), http.StatusConflict)
	default:
		http.Error(w, outcome.Err.Error(), _statusUnknownOutcome)
	}
}

// writeReadError writes the response of a failed get, list or watch.
func writeReadError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, objectstore.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
