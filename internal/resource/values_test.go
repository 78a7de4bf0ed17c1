package resource_test

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Guards against documents whose decoded form is far larger than their count says, and against text that counts as values.
func TestCountValuesCountsEachValue(t *testing.T) {
	g := gomega.NewWithT(t)
	for document, values := range map[string]int{
		`1`: 1, `[]`: 2, `{"a":{},"b":[1,2,3]}`: 7, `{"a":"{[,\",{"}`: 2, `"\\",{`: 3, ``: 1,
	} {
		g.Expect(resource.CountValues([]byte(document))).To(gomega.Equal(values), document)
	}
}
