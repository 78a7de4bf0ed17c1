package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

var _ = ginkgo.Describe("under load", func() {
	// Guards P1 and P2 over the wire: loads are closed, acknowledged and replaced while callers send, and no request
	// may reach a load after its closing was acknowledged.
	ginkgo.It("never sends to a load whose closing it has acknowledged", func() {
		f := newFixture(nil)
		var evicted sync.Map
		var violations, served atomic.Int64
		engine := newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			var asked struct{ Model string }
			_ = json.Unmarshal(body, &asked)
			if _, gone := evicted.Load(asked.Model); gone {
				violations.Add(1)
			}
			served.Add(1)
			answerWell(w, r, body)
		})
		const rounds = 20
		f.scheduler.grant(serverWith("s1", engine, 1))
		var callers sync.WaitGroup
		var stop atomic.Bool
		for i := range 8 {
			callers.Go(func() {
				defer ginkgo.GinkgoRecover()
				for !stop.Load() {
					a := f.complete([]string{"", `,"stream":true`}[i%2])
					gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
					gomega.Expect(strings.Contains(a.body, "#")).To(gomega.BeFalse())
				}
			})
		}
		for load := uint64(1); load <= rounds; load++ {
			before := served.Load()
			gomega.Eventually(served.Load).Should(gomega.BeNumerically(">", before+20))
			closing := serverWith("s1", engine, load)
			closing.Loads[0].State = peerpb.LoadState_CLOSING
			f.scheduler.grant(closing)
			gomega.Eventually(func() []uint64 { return (<-f.scheduler.demand).ClosedLoads }, "5s").Should(gomega.ContainElement(load))
			evicted.Store(closing.Loads[0].Name, true)
			f.scheduler.grant(serverWith("s1", engine, load+1))
		}
		stop.Store(true)
		callers.Wait()
		gomega.Expect(violations.Load()).To(gomega.BeZero())
	})
})
