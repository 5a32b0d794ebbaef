package departure_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/departure"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/upstream"
	"lentilferry.example/lentilferry/wire"
)

var _key = objectstore.Key{Kind: objectstore.KindDeparture, Name: "n1"}

func newLog(store departure.Store) *departure.Log {
	return departure.NewLog(store, wire.Codec{}, "n1", klog.Logger{})
}

// instance returns an instance whose incarnation is given.
func instance(incarnation uint64) upstream.Instance {
	return upstream.Instance{ID: upstream.ID(fmt.Sprint("i-", incarnation)), Incarnation: incarnation}
}

// loaded returns what a new process reads.
func loaded(t *testing.T, store departure.Store) []upstream.Instance {
	t.Helper()
	departed, err := newLog(store).Load(t.Context())
	assert.NilError(t, err)
	return departed
}

func TestLogOutlivesProcess(t *testing.T) {
	store := fakeplatform.New()
	assert.Equal(t, len(loaded(t, store)), 0)
	log := newLog(store)
	assert.NilError(t, log.Append(t.Context(), instance(1)))
	assert.NilError(t, log.Append(t.Context(), instance(2), instance(1)))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(1), instance(2)})
	written := store.Calls().Writes
	assert.NilError(t, log.Append(t.Context(), instance(2)))
	assert.NilError(t, newLog(store).Append(t.Context(), instance(1)))
	assert.Equal(t, store.Calls().Writes, written)
}

func TestConcurrentAppendsAreAllStored(t *testing.T) {
	store := fakeplatform.New()
	var appending sync.WaitGroup
	for i := range uint64(12) {
		appending.Go(func() { assert.Check(t, newLog(store).Append(t.Context(), instance(i+1)) == nil) })
	}
	appending.Wait()
	assert.Equal(t, len(loaded(t, store)), 12)
}

// Guards against a log that a lost response leaves out of step with the store.
func TestAppendAfterLostResponse(t *testing.T) {
	store := fakeplatform.New()
	log := newLog(store)
	store.SetFaults(fakeplatform.Faults{LoseResponses: true})
	assert.ErrorIs(t, log.Append(t.Context(), instance(1)), objectstore.ErrUnavailable)
	written := store.Calls().Writes
	// Reading back shows that it is stored.
	assert.NilError(t, log.Append(t.Context(), instance(1)))
	assert.Equal(t, store.Calls().Writes, written)
	store.SetFaults(fakeplatform.Faults{})
	assert.NilError(t, log.Append(t.Context(), instance(2)))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(1), instance(2)})
}

func TestAppendToDeletedLog(t *testing.T) {
	store := fakeplatform.New()
	log := newLog(store)
	assert.NilError(t, log.Append(t.Context(), instance(1)))
	object, err := store.Get(t.Context(), _key)
	assert.NilError(t, err)
	assert.Equal(t, store.Delete(t.Context(), _key, object.Version).Result, objectstore.Written)
	assert.NilError(t, log.Append(t.Context(), instance(2)))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(2)})
}

func TestForgottenLogIsReadAgain(t *testing.T) {
	store := fakeplatform.New()
	log := newLog(store)
	assert.NilError(t, log.Append(t.Context(), instance(1)))
	object, err := store.Get(t.Context(), _key)
	assert.NilError(t, err)
	assert.Equal(t, store.Delete(t.Context(), _key, object.Version).Result, objectstore.Written)
	log.Forget()
	assert.NilError(t, log.Append(t.Context(), instance(1)))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(1)})
}

func TestLogIsBounded(t *testing.T) {
	store := fakeplatform.New()
	log := newLog(store)
	for i := range uint64(40) {
		assert.NilError(t, log.Append(t.Context(), instance(i+1)))
	}
	departed := loaded(t, store)
	assert.Equal(t, len(departed), 16)
	assert.Equal(t, departed[15], instance(40))
}

func TestObjectOfAnotherWriterIsReplaced(t *testing.T) {
	store := fakeplatform.New()
	assert.Equal(t, store.Create(t.Context(), _key, []byte("\xff\xff")).Result, objectstore.Written)
	assert.Equal(t, len(loaded(t, store)), 0)
	assert.NilError(t, newLog(store).Append(t.Context(), instance(1)))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(1)})
}

// A call that waits for another one ends with its context.
func TestAppendEndsWithContext(t *testing.T) {
	store := fakeplatform.New()
	store.SetFaults(fakeplatform.Faults{Delay: time.Minute})
	log := newLog(store)
	ctx, cancel := context.WithCancel(t.Context())
	pending := make(chan error, 1)
	go func() { pending <- log.Append(ctx, instance(1)) }()
	for store.Calls().Reads == 0 {
		time.Sleep(time.Millisecond)
	}
	shortCtx, cancelShort := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancelShort()
	_, err := log.Load(shortCtx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	cancel()
	assert.Assert(t, <-pending != nil)
}
