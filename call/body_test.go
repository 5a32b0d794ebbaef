package call

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Consecutive attempts, each closed at any offset, read the same body.
func TestAttemptsReadSameBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3*_maxReplayBytes/2).Draw(t, "size")
		text := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		b := newReplayBody(strings.NewReader(text))
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			a := b.newAttempt()
			part := rapid.IntRange(0, size).Draw(t, "part")
			got, err := io.ReadAll(io.LimitReader(a, int64(part)))
			if errors.Is(err, errBodyNotReplayable) {
				assert.Assert(t, !b.replayable())
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, string(got) == text[:len(got)])
			assert.NilError(t, a.Close())
			_, err = a.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, errBodyClosed))
		}
		if !b.replayable() {
			return
		}
		got, err := io.ReadAll(b.newAttempt())
		assert.NilError(t, err)
		assert.Assert(t, string(got) == text)
	})
}

// Closing an attempt doesn't wait for its pending read of the source. What the
// caller sends after that is read by the next attempt.
func TestAttemptCloseDoesNotWaitForCaller(t *testing.T) {
	source, sender := io.Pipe()
	b := newReplayBody(source)
	first := b.newAttempt()
	ended := make(chan error, 1)
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, err := first.Read(make([]byte, 8))
		ended <- err
	}()
	<-reading
	assert.NilError(t, first.Close())
	second := b.newAttempt()
	go func() {
		_, _ = sender.Write([]byte("late"))
		_ = sender.Close()
	}()
	got, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "late")
	assert.Assert(t, errors.Is(<-ended, errBodyClosed))
}

// Bodies that are read ahead of their attempts reach the attempts whole, also
// when the budget has no room for them, and leave nothing in the budget.
func TestBodiesReadAheadReachAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBufferBudget(int64(rapid.IntRange(0, 2*_maxReplayBytes).Draw(t, "budget")))
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3*_maxReplayBytes/2), 1, 4).Draw(t, "sizes")
		var reading sync.WaitGroup
		for _, size := range sizes {
			reading.Go(func() {
				text := strings.Repeat("0123456789abcdef", size/16+1)[:size]
				b := newReplayBody(strings.NewReader(text))
				b.budget = budget
				b.startReadAhead()
				got, err := io.ReadAll(b.newAttempt())
				assert.Check(t, err)
				assert.Check(t, string(got) == text)
				if b.replayable() {
					got, err = io.ReadAll(b.newAttempt())
					assert.Check(t, err)
					assert.Check(t, string(got) == text)
				}
				<-b.readAheadDone
				b.free()
			})
		}
		reading.Wait()
		assert.Equal(t, budget.Held(), int64(0))
	})
}
