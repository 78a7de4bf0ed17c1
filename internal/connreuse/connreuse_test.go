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

// Guards against repeated failures of requests on idle connections that servers have dropped.
func TestResetsOfIdleConnectionsMakeServersSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	var guard connreuse.Guard
	now := start
	g.Expect(guard.Broke(now, long, short)).To(gomega.BeFalse())
	now = now.Add(time.Second)
	g.Expect(guard.Broke(now, long, short)).To(gomega.BeFalse())
	now = now.Add(time.Second)
	g.Expect(guard.Broke(now, long, short)).To(gomega.BeTrue())
	g.Expect(guard.Suspects(now.Add(9 * time.Second))).To(gomega.BeTrue())
	g.Expect(guard.Suspects(now.Add(11 * time.Second))).To(gomega.BeFalse())
}

// Guards against new connections for every request while servers crash or fail some of their requests: on a standard
// day of rmams-epaves, when a single reset sufficed, the number of new connections rose from 1,429 to 5,367.
func TestOtherFailuresMakeNoServerSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		apart       time.Duration
		idle, taken time.Duration
		freshResets bool
	}{
		"a server crashes and resets all its connections": {time.Millisecond, long, short, false},
		"servers fail while processing requests":          {time.Second, long, time.Second, false},
		"servers reset idle and fresh connections":        {time.Second, long, short, true},
		"resets are rare": {4 * time.Second, long, short, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var guard connreuse.Guard
			now := start
			for range 20 {
				g.Expect(guard.Broke(now, c.idle, c.taken)).To(gomega.BeFalse())
				if c.freshResets {
					g.Expect(guard.Broke(now, 0, short)).To(gomega.BeFalse())
				}
				now = now.Add(c.apart)
			}
		})
	}
}

// Guards against nodes that renew each other's suspicion forever.
func TestSuspicionOfAnotherNodeIsNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	var guard connreuse.Guard
	guard.PeerSuspects(start)
	g.Expect(guard.Suspects(start.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(guard.SuspectsOnItsOwn(start)).To(gomega.BeFalse())
	g.Expect(guard.Suspects(start.Add(10 * time.Second))).To(gomega.BeFalse())
}
