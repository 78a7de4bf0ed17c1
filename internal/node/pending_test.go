package node

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against answers that reach another request or block the receiver of messages.
func TestAnswersReachOnlyTheRequestThatWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPending[string]()
	first, firstAnswers := p.register(1)
	second, secondAnswers := p.register(1)
	p.deliver(first, "a")
	p.deliver(first, "above the capacity")
	p.deliver(second+1, "to nobody")
	g.Expect(firstAnswers).To(gomega.Receive(gomega.Equal("a")))
	g.Expect(firstAnswers).NotTo(gomega.Receive())
	g.Expect(secondAnswers).NotTo(gomega.Receive())
	p.unregister(first)
	p.deliver(first, "late")
	g.Expect(firstAnswers).NotTo(gomega.Receive())
}
