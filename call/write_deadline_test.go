package call

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineRecorder records the write deadline that was set last.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// Guards against callers that don't read and so hold an upstream's slot, which a
// short response does too if the budget has no room for it.
func TestResponsesThatHoldSlotsHaveWriteDeadline(t *testing.T) {
	const body = "hello"
	for _, test := range []struct {
		name        string
		budgetBytes int64
		length      int64
		want        bool
	}{
		{"buffered", 1 << 20, int64(len(body)), false},
		{"buffered, without a length", 1 << 20, -1, false},
		{"no room in the budget", 0, int64(len(body)), true},
		{"no room in the budget, without a length", 0, -1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := &http.Response{
				ProtoMajor: 1, Header: make(http.Header), ContentLength: test.length, Body: io.NopCloser(strings.NewReader(body)),
			}
			assert.NilError(t, bufferResponse(response, NewBufferBudget(test.budgetBytes)))
			w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			remove := setWriteDeadline(w, httptest.NewRequest(http.MethodGet, "/", nil), response, time.Now())
			assert.Equal(t, !w.deadline.IsZero(), test.want)
			remove()
			assert.Assert(t, w.deadline.IsZero())
			assert.NilError(t, response.Body.Close())
		})
	}
}
