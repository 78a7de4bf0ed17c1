package httplog_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

func TestHTTPLog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httplog")
}

const (
	stream  = platform.ConfigStream
	timeout = 10 * time.Second
)

// start runs a stand-in site and returns it with a client for its platform.
func start(change func(*standin.Settings)) (*standin.Site, *httplog.Client) {
	options := standin.DefaultSettings()
	options.AdminListen = "127.0.0.1:0"
	options.Platform.Endpoints = []standin.Endpoint{{Address: "127.0.0.1:0"}}
	options.Platform.VMs = []platform.VM{{Name: "entry-1", Zone: "a", Address: "127.0.0.1"}}
	options.Platform.VMLag = 0
	change(&options)
	site, err := standin.New(options, event.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	stop := site.Start()
	ginkgo.DeferCleanup(func() { gomega.Expect(stop()).To(gomega.Succeed()) })
	url := "http://" + site.Address(standin.TargetPlatform)
	return site, httplog.New(url, url, timeout)
}

func unchanged(*standin.Settings) {}

func appendAll(ctx context.Context, client *httplog.Client, texts ...string) {
	for _, text := range texts {
		_, err := client.Append(ctx, stream, []byte(text))
		gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	}
}

func texts(batch platform.Batch) []string {
	var list []string
	for _, record := range batch.Records {
		list = append(list, fmt.Sprintf("%d:%s", record.Offset, record.Data))
	}
	return list
}

var _ = ginkgo.Describe("Client", func() {
	// Guards against offsets that are shared between streams, start at 0 or have gaps.
	ginkgo.It("gives each stream dense offsets from 1", func(ctx context.Context) {
		_, client := start(unchanged)
		appendAll(ctx, client, "a", "b")
		other, err := client.Append(ctx, platform.OwnershipStream("zone/1"), []byte("x"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(other).To(gomega.Equal(platform.Offset(1)))
		batch, err := client.Read(ctx, stream, 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(texts(batch)).To(gomega.Equal([]string{"1:a", "2:b"}))
		gomega.Expect(batch.Next).To(gomega.Equal(platform.Offset(3)))
	})

	// Guards against a long poll that misses a record which is appended while it waits.
	ginkgo.It("returns a record that is appended while a read waits", func(ctx context.Context) {
		_, client := start(unchanged)
		read := make(chan []string, 1)
		go func() {
			batch, _ := client.Read(ctx, stream, 1, time.Minute)
			read <- texts(batch)
		}()
		appendAll(ctx, client, "late")
		gomega.Eventually(read).WithTimeout(timeout).Should(gomega.Receive(gomega.Equal([]string{"1:late"})))
	})

	// Guards against a reader that treats trimmed records as an empty stream and skips them silently.
	ginkgo.It("reports records past their retention as TrimmedError", func(ctx context.Context) {
		_, client := start(func(s *standin.Settings) { s.Platform.RetentionRecords = 2 })
		appendAll(ctx, client, "a", "b", "c")
		_, err := client.Read(ctx, stream, 1, 0)
		var trimmed *platform.TrimmedError
		gomega.Expect(errors.As(err, &trimmed)).To(gomega.BeTrue())
		gomega.Expect(*trimmed).To(gomega.Equal(platform.TrimmedError{Stream: stream, From: 1, Earliest: 2}))
		batch, err := client.Read(ctx, stream, trimmed.Earliest, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(texts(batch)).To(gomega.Equal([]string{"2:b", "3:c"}))
	})

	// Guards against a client that retries an append whose answer was lost, or reports it as successful.
	ginkgo.It("returns an error for a lost answer, with the record appended once", func(ctx context.Context) {
		site, client := start(unchanged)
		lostAnswer := fault.Order{Target: standin.TargetLog, Kind: fault.LostAnswer, Count: 1}
		gomega.Expect(site.Faults.Activate(lostAnswer)).To(gomega.Succeed())
		_, err := client.Append(ctx, stream, []byte("a"))
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Unavailable))
		gomega.Expect(failure.StepOf(err)).NotTo(gomega.BeEmpty())
		gomega.Expect(failure.PeerOf(err)).To(gomega.ContainSubstring(site.Address(standin.TargetPlatform)))
		appendAll(ctx, client, "b")
		batch, err := client.Read(ctx, stream, 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(texts(batch)).To(gomega.Equal([]string{"1:a", "2:b"}))
	})

	// Guards against a read that keeps waiting during an outage, and against an append that takes effect during one.
	ginkgo.It("fails during an outage and recovers after it", func(ctx context.Context) {
		site, client := start(unchanged)
		appendAll(ctx, client, "a")
		waiting := make(chan error, 1)
		go func() {
			_, err := client.Read(ctx, stream, 2, time.Minute)
			waiting <- err
		}()
		gomega.Expect(site.Faults.Activate(fault.Order{Target: standin.TargetLog, Kind: fault.Outage})).To(gomega.Succeed())
		gomega.Eventually(waiting).WithTimeout(timeout).Should(gomega.Receive(gomega.HaveOccurred()))
		_, err := client.Append(ctx, stream, []byte("refused"))
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Unavailable))
		site.Faults.Clear(standin.TargetLog, fault.Outage)
		appendAll(ctx, client, "b")
		batch, err := client.Read(ctx, stream, 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(texts(batch)).To(gomega.Equal([]string{"1:a", "2:b"}))
	})

	// Guards against a client that continues to use connections that no longer respond.
	ginkgo.It("uses a new connection after the open one went silent", func(ctx context.Context) {
		site, _ := start(unchanged)
		url := "http://" + site.Address(standin.TargetPlatform)
		client := httplog.New(url, url, 200*time.Millisecond)
		appendAll(ctx, client, "a")
		silence := fault.Order{Target: standin.TargetPlatform, Kind: fault.Silence}
		gomega.Expect(site.Faults.Activate(silence)).To(gomega.Succeed())
		_, err := client.Read(ctx, stream, 1, 0)
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Timeout))
		gomega.Eventually(func() error {
			_, err := client.Read(ctx, stream, 1, 0)
			return err
		}).WithTimeout(timeout).Should(gomega.Succeed())
	})

	// Guards against a rejection by the rate limit that is treated as an append with unknown outcome.
	ginkgo.It("distinguishes a rejection by the rate limit from a failure", func(ctx context.Context) {
		_, client := start(func(s *standin.Settings) { s.Platform.AppendBurst, s.Platform.AppendsPerSecond = 1, 1 })
		appendAll(ctx, client, "a")
		_, err := client.Append(ctx, stream, []byte("b"))
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Refused))
	})

	// Guards against an answer that exhausts the process's memory.
	ginkgo.It("rejects an answer that is too long", func(ctx context.Context) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 1<<20)
			for range 17 {
				_, _ = w.Write(block)
			}
		}))
		ginkgo.DeferCleanup(server.Close)
		_, err := httplog.New(server.URL, server.URL, timeout).VMs(ctx)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("longer than")))
	})

	// Guards against a VM that is listed as live after it was marked as leaving, or listed after it was removed.
	ginkgo.It("reflects leaving and removed VMs after the lag", func(ctx context.Context) {
		site, client := start(func(s *standin.Settings) { s.Platform.VMLag = settings.Duration(50 * time.Millisecond) })
		state := func() ([]platform.VM, error) { return client.VMs(ctx) }
		gomega.Expect(state()).To(gomega.ConsistOf(gomega.HaveField("State", platform.VMLive)))
		gomega.Expect(site.Faults.Activate(fault.Order{Target: "entry-1", Kind: fault.Leaving})).To(gomega.Succeed())
		gomega.Eventually(state).WithTimeout(timeout).Should(gomega.ConsistOf(gomega.HaveField("State", platform.VMLeaving)))
		gomega.Expect(site.Faults.Activate(fault.Order{Target: "entry-1", Kind: fault.Removed})).To(gomega.Succeed())
		gomega.Eventually(state).WithTimeout(timeout).Should(gomega.BeEmpty())
	})
})
