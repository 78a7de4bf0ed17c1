package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
	"waxwingcleat.example/waxwingcleat/internal/standin/service"
)

func TestService(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "stand-in service")
}

var _ = ginkgo.Describe("Service", func() {
	// Guards against a repeated run that isn't counted, in particular one after a lost answer.
	ginkgo.It("counts runs by request and by body, with and without an answer", func() {
		faults := fault.NewRegistry(time.Now, func(fault.Order) {})
		plain := service.New("saves", 0, faults)
		server := httptest.NewServer(plain)
		ginkgo.DeferCleanup(server.Close)
		call := func(id, body string) (string, error) {
			request, err := http.NewRequest(http.MethodPost, server.URL+"/save/1", strings.NewReader(body))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			request.Header.Set(vllm.HeaderRequestID, id)
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				return "", err
			}
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			return string(data), err
		}
		gomega.Expect(faults.Activate(fault.Order{Target: "saves", Kind: fault.LostAnswer, Count: 1})).To(gomega.Succeed())
		_, err := call("r1", "draft")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(call("r2", "draft")).To(gomega.ContainSubstring(`"run":2,"runOfBody":2`))
		gomega.Expect(call("r3", "other")).To(gomega.ContainSubstring(`"run":3,"runOfBody":1`))
		counters := plain.Counters()
		gomega.Expect(counters.ByRequest).To(gomega.Equal(map[string]int{"r1": 1, "r2": 1, "r3": 1}))
		gomega.Expect(counters.Repeated).To(gomega.Equal(1))
		gomega.Expect(counters.LostAnswers).To(gomega.Equal(1))
	})
})
