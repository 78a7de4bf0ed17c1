package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

// Guards against appends of all holders together beyond their share of the store's calls, 60 a second.
func TestWritersTogetherStayUnderTheBoundOfAppends(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(streamorigin.MaximumWriters * float64(time.Second) / float64(originAppendPeriod)).
		To(gomega.BeNumerically("<", 60))
}
