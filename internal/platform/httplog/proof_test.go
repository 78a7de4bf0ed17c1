package httplog_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/standin"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

var _ = ginkgo.Describe("idle connections", func() {
	// Guards P10 against idle connections that stop responding all at once and each make a later call time out.
	ginkgo.It("are all given up after one of them went silent", func(ctx context.Context) {
		site, _ := start(unchanged)
		url := "http://" + site.Address(standin.TargetPlatform)
		client := httplog.New(url, url, time.Second)
		appendAll(ctx, client, "a")
		// Concurrent reads that wait need one connection each.
		var readers sync.WaitGroup
		for range 4 {
			readers.Go(func() {
				defer ginkgo.GinkgoRecover()
				_, err := client.Read(ctx, stream, 2, 500*time.Millisecond)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			})
		}
		readers.Wait()
		silence := fault.Order{Target: standin.TargetPlatform, Kind: fault.Silence}
		gomega.Expect(site.Faults.Activate(silence)).To(gomega.Succeed())
		_, err := client.Read(ctx, stream, 1, 0)
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Timeout))
		_, err = client.Read(ctx, stream, 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
})
