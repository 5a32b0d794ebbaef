package call_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls with long bodies that end as unknown when they wait for a
// slot at another node for longer than the kernel lets sent bytes stay unread.
func TestLongBodyWaitsForSlot(t *testing.T) {
	for _, size := range []int{60_000, 300_000, 4_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			cluster, u := startBusyCluster(t, false)
			free := time.AfterFunc(4500*time.Millisecond, u.free)
			defer free.Stop()
			result := sendRequest(t, newRequest(t, http.MethodPost, cluster.url+"/commands/1", strings.NewReader(strings.Repeat("x", size))))
			assert.Equal(t, result.status, http.StatusOK, result.reason)
			assert.Equal(t, result.body, "done")
		})
	}
}
