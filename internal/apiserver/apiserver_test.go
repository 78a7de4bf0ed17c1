package apiserver_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/apiserver"
)

func TestAPIServer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "apiserver")
}

func defaults(*apiserver.Settings) {}

const path = "/apis/v1/priorityclasses/"

var _ = ginkgo.Describe("the resource API", func() {
	// Guards against unconditional writes and against conflicts that don't report the current version.
	ginkgo.It("writes conditionally and returns the original result for a repeated operation", func() {
		r := start(defaults)
		gomega.Expect(r.call("GET", path+"a", "").field("error.code")).To(gomega.Equal("not_found"))
		created := r.call("PUT", path+"a", classBody(0, 1))
		gomega.Expect(created.status).To(gomega.Equal(http.StatusCreated))
		gomega.Expect(created.field("resourceVersion")).To(gomega.Equal(1.0))
		gomega.Expect(r.call("GET", path+"a", "").field("spec.rank")).To(gomega.Equal(1.0))

		conflict := r.call("PUT", path+"a", classBody(0, 2))
		gomega.Expect(conflict.status).To(gomega.Equal(http.StatusConflict))
		gomega.Expect(conflict.field("error.currentVersion")).To(gomega.Equal(1.0))

		deletion := `{"resourceVersion":1,"operationId":"del"}`
		gomega.Expect(r.call("DELETE", path+"a", deletion).status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.call("DELETE", path+"a", deletion).field("resourceVersion")).To(gomega.Equal(2.0))
		absent := r.call("PUT", path+"a", classBody(1, 2))
		gomega.Expect(absent.status).To(gomega.Equal(http.StatusConflict))
		gomega.Expect(absent.field("error.currentVersion")).To(gomega.Equal(0.0))
	})

	// Guards against requests that are misinterpreted or use unbounded memory.
	ginkgo.DescribeTable("rejects bad requests",
		func(method, path, body, code, field string) {
			r := start(func(s *apiserver.Settings) { s.Limits.BodyBytes = 1024 })
			answer := r.call(method, path, body)
			gomega.Expect(answer.field("error.code")).To(gomega.Equal(code))
			if field != "" {
				gomega.Expect(answer.field("error.field")).To(gomega.Equal(field))
			}
			gomega.Expect(r.log.count()).To(gomega.BeZero())
		},
		ginkgo.Entry("no version", "PUT", path+"a", `{"spec":{}}`, "invalid", "resourceVersion"),
		ginkgo.Entry("unknown field", "PUT", path+"a", `{"resourceVersion":0,"spce":{}}`, "invalid", "spce"),
		ginkgo.Entry("bad spec", "PUT", path+"a", classBody(0, -1), "invalid", "spec.rank"),
		ginkgo.Entry("other name", "PUT", path+"a", `{"resourceVersion":0,"name":"b","spec":{}}`, "invalid", "name"),
		ginkgo.Entry("large body", "PUT", path+"a", strings.Repeat(" ", 2000), "too_large", ""),
		ginkgo.Entry("unknown kind", "GET", "/apis/v1/pods", "", "not_found", "kind"),
		ginkgo.Entry("unknown path", "POST", "/apis/v1/adapters", "", "not_found", ""),
		ginkgo.Entry("empty batch", "POST", "/apis/v1/batch", `{"operations":[]}`, "invalid", "operations"),
		ginkgo.Entry("resource twice in a batch", "POST", "/apis/v1/batch",
			`{"operations":[{"kind":"services","name":"s","resourceVersion":0},`+
				`{"kind":"services","name":"s","resourceVersion":0}]}`,
			"invalid", "operations[1].name"),
		ginkgo.Entry("bad version", "GET", "/apis/v1/status?resourceVersion=x", "", "invalid", "resourceVersion"),
	)

	// Guards against a declaration of all adapters that needs one append per adapter, and against one invalid operation
	// that makes others fail.
	ginkgo.It("applies a batch in few records, each operation independently", func() {
		r := start(defaults)
		r.call("PUT", path+"a", classBody(0, 1))
		operations := []string{
			`{"kind":"priorityclasses","name":"a","resourceVersion":0,` +
				`"spec":{"rank":2,"queueLimit":5,"maximumWaitMs":100}}`,
			`{"kind":"adapters","name":"bad","resourceVersion":0,"spec":{}}`,
		}
		for i := range 3000 {
			operations = append(operations, fmt.Sprintf(`{"kind":"adapters","name":"a%d","resourceVersion":0,`+
				`"spec":{"baseModel":"m","versions":[{"name":"v1","path":"weights/a%d/v1"}],"defaultVersion":"v1"}}`, i, i))
		}
		answer := r.call("POST", "/apis/v1/batch", `{"operations":[`+strings.Join(operations, ",")+`]}`)
		gomega.Expect(answer.status).To(gomega.Equal(http.StatusOK))
		results := answer.body["results"].([]any)
		outcomes := map[any]int{}
		for _, result := range results {
			outcomes[result.(map[string]any)["outcome"]]++
		}
		gomega.Expect(outcomes).To(gomega.Equal(map[any]int{"conflict": 1, "invalid": 1, "accepted": 3000}))
		gomega.Expect(r.log.count()).To(gomega.BeNumerically("<=", 30))
		gomega.Expect(r.call("GET", "/apis/v1/adapters", "").body["items"]).To(gomega.HaveLen(3000))
	})

	// Guards against reporting a version as in force while a live node still serves older configuration.
	ginkgo.It("says at which nodes a version is not in force yet", func() {
		r := start(defaults)
		r.call("PUT", path+"a", classBody(0, 1))
		status := func() any { return r.call("GET", "/apis/v1/status?resourceVersion=1", "").body["pending"] }
		gomega.Eventually(status).Should(gomega.Equal([]any{"vm-2"}))
		inForce := func() any { return r.call("GET", "/apis/v1/status?resourceVersion=1", "").body["inForce"] }
		gomega.Expect(inForce()).To(gomega.BeFalse())
		r.scheduler.setOther(1)
		gomega.Eventually(inForce).Should(gomega.BeTrue())
		gomega.Expect(r.call("GET", "/apis/v1/status?resourceVersion=2", "").body["inForce"]).To(gomega.BeFalse())
		gomega.Expect(r.scheduler.lastSync().GetRole()).To(gomega.Equal("apiserver"))
	})

	// Guards against reporting a version as in force without a node table.
	ginkgo.It("does not say in force without a node table", func() {
		r := start(func(s *apiserver.Settings) { s.Schedulers = nil })
		status := r.call("GET", "/apis/v1/status", "")
		gomega.Expect(status.body["inForce"]).To(gomega.BeFalse())
		gomega.Expect(status.body["reason"]).To(gomega.ContainSubstring("node table is not known"))
	})
})

// line is one decoded line of a watch.
type line struct {
	Type            string
	ResourceVersion int
	Object          struct{ Name string }
	Error           struct{ Code string }
}

func watchFrom(r *running, version int) (*bufio.Reader, func() (line, error)) {
	collection := strings.TrimSuffix(path, "/")
	response, err := http.Get(fmt.Sprintf("%s%s?watch=1&resourceVersion=%d", r.url, collection, version))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(response.Body.Close)
	reader := bufio.NewReader(response.Body)
	return reader, func() (line, error) {
		var event line
		text, err := reader.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(text, &event)
		}
		return event, err
	}
}

var _ = ginkgo.Describe("watches and the shutdown", func() {
	// Guards against missed or duplicate changes, and against a shutdown that ends a watch without a final bookmark.
	ginkgo.It("sends each change once and ends with a bookmark", func() {
		r := start(defaults)
		r.call("PUT", path+"a", classBody(0, 1))
		r.call("PUT", path+"a", classBody(1, 2))
		_, next := watchFrom(r, 1)
		gomega.Expect(next()).To(gomega.HaveField("Type", "MODIFIED"))
		gomega.Expect(next()).To(gomega.Equal(line{Type: "BOOKMARK", ResourceVersion: 2}))
		r.call("PUT", path+"b", classBody(0, 1))
		r.call("PUT", "/apis/v1/placements/p", `{"resourceVersion":0,"spec":{"adapter":"a","minimumCopies":1}}`)
		r.call("DELETE", path+"b", `{"resourceVersion":3}`)
		gomega.Expect(next()).To(gomega.Equal(line{Type: "ADDED", ResourceVersion: 3, Object: struct{ Name string }{"b"}}))
		gomega.Expect(next()).To(gomega.Equal(line{Type: "DELETED", ResourceVersion: 5, Object: struct{ Name string }{"b"}}))
		r.stop()
		gomega.Expect(next()).To(gomega.Equal(line{Type: "BOOKMARK", ResourceVersion: 5}))
		_, err := next()
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Expect(<-r.done).To(gomega.Succeed())
	})

	// Guards against a write that is aborted by a graceful shutdown (P7).
	ginkgo.It("finishes a write in progress", func() {
		r := start(defaults)
		release := make(chan struct{})
		r.log.mu.Lock()
		r.log.blocked = release
		r.log.mu.Unlock()
		answered := make(chan reply)
		go func() {
			defer ginkgo.GinkgoRecover()
			answered <- r.call("PUT", path+"a", classBody(0, 1))
		}()
		waiting := func() int { r.log.mu.Lock(); defer r.log.mu.Unlock(); return r.log.waiting }
		gomega.Eventually(waiting).Should(gomega.Equal(1))
		r.stop()
		leaving := func() bool {
			r.scheduler.mu.Lock()
			defer r.scheduler.mu.Unlock()
			return r.scheduler.last.GetLeaving()
		}
		gomega.Eventually(leaving).Should(gomega.BeTrue())
		close(release)
		gomega.Expect((<-answered).status).To(gomega.Equal(http.StatusCreated))
		gomega.Expect(<-r.done).To(gomega.Succeed())
	})
})
