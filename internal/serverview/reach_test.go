package serverview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func viewOf(servers int) *serverview.View {
	v := serverview.New()
	for n := range servers {
		v.PutEntry(start, entry(fmt.Sprint("s", n)))
	}
	return v
}

func probed(v *serverview.View, ms int) (ids []string) {
	for _, probe := range v.ProbesDue(after(ms)) {
		ids = append(ids, probe.ID)
	}
	return ids
}

// Guards against connections that are tried on a calm day: servers answer, or there are no requests.
func TestSoundServersAreNotProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(3)
	for ms := 0; ms < 5000; ms += 100 {
		end := v.Begin(after(ms), "s0")
		v.Reached(after(ms+50), "s0")
		end()
		g.Expect(probed(v, ms+60)).To(gomega.BeEmpty())
	}
}

// Guards against an unreachable server that is used again before a connection was accepted, or not at once after it.
func TestServerIsUnreachableUntilItAcceptsAConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(2)
	g.Expect(v.Unreachable(after(0), "s0")).To(gomega.BeTrue())
	g.Expect(v.Unreachable(after(10), "s0")).To(gomega.BeFalse(), "known already")
	g.Expect(v.UnreachableServers(after(60_000))).To(gomega.ConsistOf("s0"))
	c := v.Candidates(after(60_000), "models", serving.Adapter{})[0]
	g.Expect(c.Unreachable && c.Ejected).To(gomega.BeTrue())
	g.Expect(probed(v, 60_000)).To(gomega.ConsistOf("s0"))
	g.Expect(probed(v, 60_100)).To(gomega.BeEmpty())
	g.Expect(probed(v, 60_300)).To(gomega.ConsistOf("s0"))
	g.Expect(v.Reached(after(60_301), "s0")).To(gomega.BeTrue())
	c = v.Candidates(after(60_301), "models", serving.Adapter{})[0]
	g.Expect(c.Unreachable || c.Ejected).To(gomega.BeFalse())
	g.Expect(probed(v, 61_000)).To(gomega.BeEmpty())
}

// Guards against a link that hangs and is noticed only when requests time out.
func TestSilentServersAreProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(2)
	defer v.Begin(after(0), "s0")()
	g.Expect(probed(v, 600)).To(gomega.BeEmpty())
	g.Expect(probed(v, 700)).To(gomega.ConsistOf("s0"))
	g.Expect(probed(v, 1500)).To(gomega.BeEmpty(), "once a second")
	g.Expect(probed(v, 1700)).To(gomega.ConsistOf("s0"))
	v.Doubt("s1")
	g.Expect(probed(v, 1701)).To(gomega.ConsistOf("s1"))
}

// Guards against a node that finds out one failed request after the other that its own link is down.
func TestAllServersAreProbedWhenTheLinkIsSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(5)
	v.Unreachable(after(0), "s0")
	g.Expect(probed(v, 1)).To(gomega.ConsistOf("s0"))
	v.Unreachable(after(5), "s1")
	g.Expect(probed(v, 6)).To(gomega.ConsistOf("s1", "s2", "s3", "s4"))
	g.Expect(probed(v, 310)).To(gomega.ConsistOf("s0", "s1"), "only those that are unreachable")
}

// Guards against all nodes of a large site that try all servers because two have crashed.
func TestLinkProbesAreFewUnlessTheyFail(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(60)
	v.Unreachable(after(0), "s0")
	v.Unreachable(after(5), "s1")
	probes := 0
	for ms := 10; ms < 2000; ms += 50 {
		for _, id := range probed(v, ms) {
			if id != "s0" && id != "s1" {
				probes++
				v.Reached(after(ms+1), id)
			}
		}
	}
	g.Expect(probes).To(gomega.Equal(4))

	v = viewOf(60)
	v.Unreachable(after(0), "s0")
	v.Unreachable(after(5), "s1")
	for ms := 10; ms < 510; ms += 50 {
		for _, id := range probed(v, ms) {
			v.Unreachable(after(ms+1), id)
		}
	}
	g.Expect(v.UnreachableServers(after(510))).To(gomega.HaveLen(60))
}

// Guards against a site whose nodes try all lost servers all the time, and against servers that stay lost after a cut.
func TestLostServersAreProbedSeldomUntilOneIsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	v := viewOf(40)
	for n := range 40 {
		v.Unreachable(after(0), fmt.Sprint("s", n))
	}
	probes := 0
	for ms := 5000; ms < 15_000; ms += 100 {
		probes += len(v.ProbesDue(after(ms)))
	}
	g.Expect(probes).To(gomega.BeNumerically("<=", 10*8+40))
	for ms := 15_000; ms < 20_000; ms += 100 {
		if due := v.ProbesDue(after(ms)); len(due) > 0 {
			v.Reached(after(ms+1), due[0].ID)
			g.Expect(len(v.ProbesDue(after(ms + 101)))).To(gomega.BeNumerically(">=", 30))
			return
		}
	}
	t.Error("no server was probed")
}
