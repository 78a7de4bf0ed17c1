package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// Property P4: net/http replays a GET whose reused connection breaks. If the permit has ended by then, the replay is
// refused, but the first transmission may have run.
var _ = ginkgo.Describe("a request that net/http replays", func() {
	ginkgo.It("isn't called not run because its replay was refused", func() {
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) > 1 {
				dropConnection(w, r)
			}
		}))
		ginkgo.DeferCleanup(server.Close)
		client := newClient()
		request := &relay.Request{
			Attempt: attemptID, Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: "/",
			Idempotent: true, Allowed: func() bool { return true },
		}
		gomega.Expect(client.Do(context.Background(), request, &sink{}).Execution).To(gomega.Equal(relay.Ran))
		request.Allowed = func() bool { return runs.Load() < 2 }
		result := client.Do(context.Background(), request, &sink{})
		gomega.Expect(runs.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(result.Execution).To(gomega.Equal(relay.Unknown))
	})
})
