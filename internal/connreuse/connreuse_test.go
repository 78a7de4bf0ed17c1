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
	one   = "10.0.0.1:80"
	other = "10.0.0.2:80"
)

var start = time.Unix(1_000_000, 0)

// Guards against requests that go on being lost on connections that the servers have forgotten.
func TestBreaksOfRestedConnectionsMakeServersSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := connreuse.New()
	for range 2 {
		g.Expect(guard.Broke(start, one, long, short)).To(gomega.BeFalse())
		guard.Answered(one, 0)
	}
	g.Expect(guard.Suspects(start)).To(gomega.BeFalse())
	g.Expect(guard.Broke(start, one, long, short)).To(gomega.BeTrue())
	g.Expect(guard.Suspects(start.Add(9 * time.Second))).To(gomega.BeTrue())
	g.Expect(guard.Suspects(start.Add(11 * time.Second))).To(gomega.BeFalse())
}

// Guards against new connections for every request while servers crash or fail part of their requests: on a standard
// day of rmams-epaves one reset was enough, and the new connections grew from 1,429 to 5,367.
func TestOtherFailuresMakeNoServerSuspect(t *testing.T) {
	for name, between := range map[string]func(*connreuse.Guard){
		"an answer on a rested connection": func(guard *connreuse.Guard) { guard.Answered(one, long) },
		"a break on a fresh connection":    func(guard *connreuse.Guard) { guard.Broke(start, one, 0, short) },
		"a break while the server worked":  func(guard *connreuse.Guard) { guard.Broke(start, one, long, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			guard := connreuse.New()
			for range 5 {
				guard.Broke(start, one, long, short)
				guard.Broke(start, one, long, short)
				between(guard)
			}
			g.Expect(guard.Suspects(start)).To(gomega.BeFalse())
		})
	}
}

// Guards against a crash that breaks one connection to each of several servers and is taken for forgotten connections.
func TestBreaksAreCountedForEachServer(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := connreuse.New()
	for range 2 {
		guard.Broke(start, one, long, short)
		guard.Broke(start, other, long, short)
	}
	g.Expect(guard.Suspects(start)).To(gomega.BeFalse())
}

// Guards against nodes that keep up each other's suspicion for ever.
func TestHearsayIsNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := connreuse.New()
	guard.Heard(start)
	g.Expect(guard.Suspects(start.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(guard.Seen(start)).To(gomega.BeFalse())
	g.Expect(guard.Suspects(start.Add(10 * time.Second))).To(gomega.BeFalse())
}
