package resource_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/resource"
)

func TestResource(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "resource")
}

var _ = ginkgo.Describe("validation", func() {
	// Guards against specs that are accepted but can't be served, and against errors that don't identify the field.
	ginkgo.DescribeTable("names the field, the value and what is allowed",
		func(kind resource.Kind, spec, field, value string) {
			op := resource.Operation{ID: "o", Kind: kind, Name: "n", Spec: []byte(spec)}
			var fieldErr *resource.FieldError
			gomega.Expect(errors.As(resource.Validate(op), &fieldErr)).To(gomega.BeTrue())
			gomega.Expect(fieldErr.Field).To(gomega.Equal(field))
			gomega.Expect(fmt.Sprint(fieldErr.Value)).To(gomega.ContainSubstring(value))
			gomega.Expect(fieldErr.Allowed).NotTo(gomega.BeEmpty())
		},
		ginkgo.Entry("unknown kind", resource.Kind("pods"), `{}`, "kind", "pods"),
		ginkgo.Entry("no spec", resource.KindService, ``, "spec", ""),
		ginkgo.Entry("null spec", resource.KindService, `null`, "spec", "null"),
		ginkgo.Entry("unknown field", resource.KindAdapter, `{"baseModle":"m"}`, "spec.baseModle", "present"),
		ginkgo.Entry("wrong type", resource.KindPriorityClass, `{"rank":"high"}`, "spec.rank", "string"),
		ginkgo.Entry("missing default version", resource.KindAdapter,
			`{"baseModel":"m","versions":[{"name":"v1","path":"p"}],"defaultVersion":"v2"}`, "spec.defaultVersion", "v2"),
		ginkgo.Entry("version named twice", resource.KindAdapter,
			`{"baseModel":"m","versions":[{"name":"v1","path":"p"},{"name":"v1","path":"q"}],"defaultVersion":"v1"}`,
			"spec.versions[1].name", "v1"),
		ginkgo.Entry("separator in a name", resource.KindPlacement, `{"adapter":"a@b"}`, "spec.adapter", "a@b"),
		ginkgo.Entry("zone twice", resource.KindPlacement, `{"adapter":"a","zones":["z","z"]}`, "spec.zones[1]", "z"),
		ginkgo.Entry("no queue", resource.KindPriorityClass, `{"rank":0,"maximumWaitMs":1}`, "spec.queueLimit", "0"),
		ginkgo.Entry("batch window beyond the maximum wait", resource.KindPriorityClass,
			`{"rank":1,"queueLimit":1,"maximumWaitMs":100,"batchWindowMs":101}`, "spec.batchWindowMs", "101"),
		ginkgo.Entry("batch window too long", resource.KindPriorityClass,
			`{"rank":1,"queueLimit":1,"maximumWaitMs":100000,"batchWindowMs":60001}`, "spec.batchWindowMs", "60001"),
		ginkgo.Entry("gather size without a batch window", resource.KindPriorityClass,
			`{"rank":1,"queueLimit":1,"maximumWaitMs":100,"gatherSize":4}`, "spec.gatherSize", "4"),
		ginkgo.Entry("host name", resource.KindBackendServer,
			`{"zone":"z","address":"h:1","baseModel":"m","slots":1,"concurrency":1}`, "spec.address", "h:1"),
		ginkgo.Entry("call method", resource.KindService,
			`{"endpoints":[{"zone":"z","address":"127.0.0.1:1"}],"nonIdempotent":[{"method":"SAVE","pathPrefix":"/"}]}`,
			"spec.nonIdempotent[0].method", "SAVE"),
	)

	ginkgo.It("refuses names that are too long", func() {
		op := class("o", strings.Repeat("n", 129), 0, 1)
		gomega.Expect(resource.Validate(op)).To(gomega.MatchError(gomega.ContainSubstring("name")))
	})
})

var _ = ginkgo.Describe("Machine", func() {
	var log *stream
	ginkgo.BeforeEach(func() { log = &stream{reader: resource.NewReader()} })

	// Guards against requests for a version that run on the weights of another path (P1).
	ginkgo.It("rejects a changed path of a version, even after it was withdrawn", func() {
		gomega.Expect(log.operate(adapter("1", "a", 0, "p"))[0].Outcome).To(gomega.Equal(resource.Accepted))
		rejected := log.operate(adapter("2", "a", 1, "q"))[0]
		gomega.Expect(rejected.Outcome).To(gomega.Equal(resource.Invalid))
		gomega.Expect(rejected.Field).To(gomega.Equal("spec.versions[0].path"))
		deletion := resource.Operation{ID: "3", Kind: resource.KindAdapter, Name: "a", ExpectedVersion: 1, Delete: true}
		gomega.Expect(log.operate(deletion)[0].Outcome).To(gomega.Equal(resource.Accepted))
		gomega.Expect(log.operate(adapter("4", "a", 0, "q"))[0].Outcome).To(gomega.Equal(resource.Invalid))
		gomega.Expect(log.operate(adapter("5", "a", 0, "p"))[0].Outcome).To(gomega.Equal(resource.Accepted))
	})

	// Guards against two states of a resource with the same version, which a conditional write can't distinguish.
	ginkgo.It("changes a resource at most once per record", func() {
		results := log.operate(class("1", "a", 0, 1), class("2", "a", 1, 2))
		gomega.Expect(results[1]).To(gomega.Equal(resource.Result{OperationID: "2", Outcome: resource.Conflict, Version: 1}))
	})

	// Guards against a view that changes while a reader uses it.
	ginkgo.It("does not modify earlier views", func() {
		log.operate(class("1", "a", 0, 1))
		before := log.reader.Machine().View()
		log.operate(class("2", "a", 1, 2), class("3", "b", 0, 3))
		gomega.Expect(before.PriorityClasses).To(gomega.HaveLen(1))
		gomega.Expect(before.PriorityClasses["a"].Spec.Rank).To(gomega.Equal(1))
		gomega.Expect(log.reader.Machine().View().PriorityClasses).To(gomega.HaveLen(2))
	})

	// Guards against a watch that silently misses changes.
	ginkgo.It("returns TooOldError for a watch that fell too far behind", func() {
		for i := range 100 {
			var ops []resource.Operation
			for j := range 200 {
				ops = append(ops, class(fmt.Sprintf("%d-%d", i, j), fmt.Sprintf("c%d-%d", i, j), 0, 1))
			}
			log.operate(ops...)
		}
		_, err := log.reader.Machine().Changes(resource.KindPriorityClass, 1)
		var tooOld *resource.TooOldError
		gomega.Expect(errors.As(err, &tooOld)).To(gomega.BeTrue())
		changes, err := log.reader.Machine().Changes(resource.KindPriorityClass, tooOld.Earliest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(changes).To(gomega.HaveLen(200 * (100 - int(tooOld.Earliest))))
		gomega.Expect(log.reader.Machine().Changes(resource.KindAdapter, 100)).To(gomega.BeEmpty())
	})
})
