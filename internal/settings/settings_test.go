package settings_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

func TestSettings(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "settings")
}

var _ = ginkgo.Describe("Parse", func() {
	valid := `{"node":{"name":"vm-1","region":"r","zone":"z"},"listen":"127.0.0.1:1","adminListen":"127.0.0.1:2",` +
		`"platform":{"logURL":"http://127.0.0.1:3"}}`

	ginkgo.It("accepts valid settings", func() {
		common := settings.DefaultCommon()
		gomega.Expect(settings.Parse("a.json", []byte(valid), &common)).To(gomega.Succeed())
	})

	// Guards against a misspelt field that is silently ignored, and against errors that don't identify the setting.
	ginkgo.DescribeTable("names the file, field, value and what is allowed",
		func(document string, parts ...string) {
			common := settings.DefaultCommon()
			err := settings.Parse("a.json", []byte(document), &common)
			gomega.Expect(err).To(gomega.HaveOccurred())
			for _, part := range append(parts, "a.json", "allowed") {
				gomega.Expect(err.Error()).To(gomega.ContainSubstring(part))
			}
		},
		ginkgo.Entry("unknown field", `{"lisen":"127.0.0.1:1"}`, "lisen"),
		ginkgo.Entry("wrong type", `{"listen":5}`, "listen", "number"),
		ginkgo.Entry("no IP number", `{"listen":"localhost:1"}`, "listen", "localhost:1", "ip:port"),
		ginkgo.Entry("trailing data", valid+`{}`, "end of file"),
	)
})
