package fault_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

func TestFault(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fault")
}

var _ = ginkgo.Describe("Registry", func() {
	var faults *fault.Registry
	var now time.Time

	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		faults = fault.NewRegistry(func() time.Time { return now }, func(fault.Order) {})
		faults.Declare("log", fault.Outage)
	})

	call := func(method, target, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		faults.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
		return recorder
	}

	// Guards against a fault that stays active beyond its duration and affects later steps of a demo.
	ginkgo.It("ends a fault after its duration", func() {
		gomega.Expect(call(http.MethodPost, "/faults", `{"target":"log","kind":"outage","duration":"5s"}`).Code).To(gomega.Equal(http.StatusOK))
		now = now.Add(5*time.Second - 1)
		gomega.Expect(faults.Active("log", fault.Outage)).To(gomega.BeTrue())
		now = now.Add(1)
		gomega.Expect(faults.Consume("log", fault.Outage)).To(gomega.BeFalse())
		gomega.Expect(faults.List()).To(gomega.BeEmpty())
	})

	ginkgo.It("ends a fault after its count of calls", func() {
		gomega.Expect(faults.Activate(fault.Order{Target: "log", Kind: fault.Outage, Count: 2})).To(gomega.Succeed())
		hits := []bool{faults.Consume("log", fault.Outage), faults.Active("log", fault.Outage), faults.Consume("log", fault.Outage), faults.Consume("log", fault.Outage)}
		gomega.Expect(hits).To(gomega.Equal([]bool{true, true, true, false}))
	})

	// Guards against a misspelt order that is accepted without effect, so that a test of the fault would pass.
	ginkgo.DescribeTable("refuses invalid orders", func(body string) {
		gomega.Expect(call(http.MethodPost, "/faults", body).Code).To(gomega.Equal(http.StatusBadRequest))
	},
		ginkgo.Entry("unknown target", `{"target":"lok","kind":"outage"}`),
		ginkgo.Entry("unknown kind", `{"target":"log","kind":"outrage"}`),
		ginkgo.Entry("unknown field", `{"target":"log","kind":"outage","seconds":3}`),
		ginkgo.Entry("negative count", `{"target":"log","kind":"outage","count":-1}`),
	)

	ginkgo.It("clears and lists faults over HTTP", func() {
		gomega.Expect(faults.Activate(fault.Order{Target: "log", Kind: fault.Outage})).To(gomega.Succeed())
		gomega.Expect(call(http.MethodGet, "/faults", "").Body.String()).To(gomega.ContainSubstring(`"outage"`))
		gomega.Expect(call(http.MethodDelete, "/faults?target=log", "").Body.String()).To(gomega.MatchJSON(`[]`))
	})
})
