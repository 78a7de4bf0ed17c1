package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a grant that is used after its process was suspended or delayed for seconds.
func TestGrantEndsWhileTheProcessIsDelayed(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&limitCall{sentAt: bootTime()}).valid()).To(gomega.BeTrue())
	g.Expect((&limitCall{sentAt: bootTime() - 2*time.Second}).valid()).To(gomega.BeFalse())
}
