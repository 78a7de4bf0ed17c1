package connreuse_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/connreuse"
)

const (
	long  = 5 * time.Second
	short = 3 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// Guards against requests that go on being lost on connections that the servers have forgotten.
func TestPromptBreakOfARestedConnectionMakesServersSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	var guard connreuse.Guard
	g.Expect(guard.Suspects(start)).To(gomega.BeFalse())
	g.Expect(guard.Broke(start, long, short)).To(gomega.BeTrue())
	g.Expect(guard.Suspects(start.Add(20 * time.Second))).To(gomega.BeTrue())
	g.Expect(guard.Suspects(start.Add(time.Minute))).To(gomega.BeFalse())
}

// Guards against new connections for every request after a server has crashed.
func TestCrashMakesNoServerSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	var guard connreuse.Guard
	g.Expect(guard.Broke(start, long, time.Second)).To(gomega.BeFalse(), "the server was at work")
	g.Expect(guard.Broke(start, short, short)).To(gomega.BeFalse(), "the connection had not rested")
	g.Expect(guard.Suspects(start)).To(gomega.BeFalse())
}

// Guards against nodes that keep up each other's suspicion for ever.
func TestHearsayIsNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	var guard connreuse.Guard
	guard.Heard(start)
	g.Expect(guard.Suspects(start.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(guard.Seen(start)).To(gomega.BeFalse())
	g.Expect(guard.Suspects(start.Add(10 * time.Second))).To(gomega.BeFalse())
}
