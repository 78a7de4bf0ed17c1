package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin"
)

func TestStandin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "standin")
}

const timeout = 10 * time.Second

var _ = ginkgo.Describe("Settings", func() {
	// Guards against examples that are no longer valid settings.
	ginkgo.It("accept the examples of both deployments", func() {
		files, err := filepath.Glob("../../examples/*/standin.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(files).To(gomega.HaveLen(2))
		for _, file := range files {
			options := standin.DefaultSettings()
			gomega.Expect(settings.Load(file, &options)).To(gomega.Succeed())
			gomega.Expect(options.Engines).To(gomega.HaveLen(9))
		}
	})

	// Guards against two stand-ins that share a name, of which a fault would affect only one.
	ginkgo.DescribeTable("reject invalid settings", func(document, field string) {
		options := standin.DefaultSettings()
		err := settings.Parse("a.json", []byte(document), &options)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(field)))
	},
		ginkgo.Entry("same name twice", `{"engines":[{"name":"a"},{"name":"a"}]}`, "engines[1].name"),
		ginkgo.Entry("no IP address", `{"services":[{"name":"a","address":"host:1"}]}`, "services[0].address"),
		ginkgo.Entry("no append rate", `{"platform":{"appendsPerSecond":0}}`, "platform.appendsPerSecond"),
	)
})

var _ = ginkgo.Describe("Site", func() {
	start := func() *standin.Site {
		options := standin.DefaultSettings()
		options.AdminListen = "127.0.0.1:0"
		options.Platform.Endpoints = []standin.Endpoint{{Zone: "a", Address: "127.0.0.1:0"}, {Zone: "b", Address: "127.0.0.1:0"}}
		options.Engines = []standin.EngineOptions{{Name: "e", Address: "127.0.0.1:0"}}
		site, err := standin.New(options, event.Discard())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stop := site.Start()
		ginkgo.DeferCleanup(func() { gomega.Expect(stop()).To(gomega.Succeed()) })
		return site
	}
	post := func(site *standin.Site, order string) {
		url := "http://" + site.Address(standin.TargetAdmin) + "/faults"
		response, err := http.Post(url, "application/json", strings.NewReader(order))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	}

	// Guards against a partition of one zone that affects others, or after which the zones see different logs.
	ginkgo.It("partitions one zone from the platform", func(ctx context.Context) {
		site := start()
		clients := make(map[string]*httplog.Client)
		for _, zone := range []string{"a", "b"} {
			url := "http://" + site.Address(standin.TargetPlatform+"/"+zone)
			clients[zone] = httplog.New(url, url, 200*time.Millisecond)
		}
		post(site, `{"target":"platform/a","kind":"freeze"}`)
		_, err := clients["a"].Read(ctx, platform.ConfigStream, 1, 0)
		gomega.Expect(failure.CodeOf(err)).To(gomega.Equal(failure.Timeout))
		gomega.Eventually(func() error {
			_, err := clients["b"].Append(ctx, platform.ConfigStream, []byte("x"))
			return err
		}).WithTimeout(timeout).Should(gomega.Succeed())
		site.Faults.Clear("", "")
		gomega.Eventually(func() ([]platform.Record, error) {
			batch, err := clients["a"].Read(ctx, platform.ConfigStream, 1, 0)
			return batch.Records, err
		}).WithTimeout(timeout).ShouldNot(gomega.BeEmpty())
	})

	// Guards against faults or counters that a script can't control or read over HTTP.
	ginkgo.It("switches faults and returns counters over HTTP", func(ctx context.Context) {
		site := start()
		post(site, `{"target":"e","kind":"restart"}`)
		control := vllm.NewControl(site.Address("e"), timeout)
		_, err := control.Report(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.Get("http://" + site.Address(standin.TargetAdmin) + "/counters")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		var counters standin.Counters
		gomega.Expect(json.NewDecoder(response.Body).Decode(&counters)).To(gomega.Succeed())
		gomega.Expect(counters.Engines["e"].Restarts).To(gomega.Equal(1))
	})
})
