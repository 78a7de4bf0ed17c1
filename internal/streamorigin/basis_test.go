package streamorigin_test

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

// Guards against a crash by a number from a node of another release.
func TestBasisOfAnotherReleaseHasAName(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(streamorigin.Recorded.String()).To(gomega.Equal("recorded"))
	g.Expect(streamorigin.Basis(200).String()).To(gomega.Equal("unknown basis 200"))
}
