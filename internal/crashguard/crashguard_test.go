package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func server(n int) crashguard.Incarnation {
	return crashguard.Incarnation{ServerID: fmt.Sprintf("s%d", n), Born: 1}
}

func anyNode(string) int { return 0 }

func noNode(string) int { return -1 }

// endServer ends a server under requests with the parts, begun 100 ms before, and confirms it.
func endServer(g *crashguard.Guard, n, endedMs int, parts ...string) []crashguard.Report {
	g.Broken(crashguard.Break{Server: server(n), Parts: parts, BegunAt: at(endedMs - 100), At: at(endedMs)})
	return g.Confirm(at(endedMs + 250))
}

func allowed(g *crashguard.Guard, ms int, parts ...string) bool {
	return g.Check(at(ms), parts, noNode).Allowed
}

// Guards against a part that goes on to end servers, and against a block of the sound parts beside it.
func TestPartIsBlockedAfterThreeServersEndedUnderIt(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 3 {
		g.Expect(allowed(guard, n*1000, "first", "bad")).To(gomega.BeTrue(), "%d ends", n)
		endServer(guard, n, n*1000+500, "first", "bad")
		guard.Answered(at(n*1000+800), []string{"first", "other"})
	}
	g.Expect(allowed(guard, 3000, "first", "bad")).To(gomega.BeFalse())
	g.Expect(allowed(guard, 3000, "first", "other")).To(gomega.BeTrue())
	g.Expect(guard.Suspected([]string{"first", "other"})).To(gomega.BeFalse())
	changes := guard.Changes()
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(changes[0].Part).To(gomega.Equal("bad"))
	g.Expect(changes[0].Ends).To(gomega.Equal([]crashguard.Incarnation{server(0), server(1), server(2)}))
}

// Guards against a request that ended two servers and is sent to a third.
func TestRequestIsNotRepeatedAfterTwoEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	endServer(guard, 0, 500, "bad")
	g.Expect(guard.Suspected([]string{"bad"})).To(gomega.BeFalse())
	endServer(guard, 1, 1500, "bad")
	g.Expect(guard.Suspected([]string{"other", "bad"})).To(gomega.BeTrue())
}

// Guards against an end that doesn't count because the next incarnation answers at the same address before its entry is known.
func TestEntryOfTheNextIncarnationProvesAnEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, next := range map[string]crashguard.Incarnation{
		"same ID": {ServerID: "s0", Born: 2}, "same address": {ServerID: "other", Born: 2},
	} {
		guard := crashguard.New()
		guard.Broken(crashguard.Break{
			Server: server(0), Address: "a:1", Parts: []string{"bad"}, Requests: []string{"request:a"}, BegunAt: at(0), At: at(100),
		})
		guard.Dialed(server(0), true)
		guard.BytesReceived(at(200), server(0))
		g.Expect(guard.Confirm(at(400))).To(gomega.BeEmpty(), name)
		guard.Registered(at(500), next, "a:1")
		reports := guard.Confirm(at(501))
		g.Expect(reports).To(gomega.HaveLen(1), name)
		g.Expect(reports[0].EndedAt).To(gomega.Equal(at(100)), name)
		g.Expect(reports[0].Suspects).To(gomega.HaveLen(2), name)
		guard.Registered(at(600), next, "a:1")
		g.Expect(guard.Confirm(at(900))).To(gomega.BeEmpty(), name)
	}
}

// Guards against a request whose servers' address goes on accepting connections while they are down.
func TestRequestEndsServersBehindAnAddressThatAccepts(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 2 {
		closedAt := n * 1000
		guard.Broken(crashguard.Break{
			Server: server(n), Address: "a:1", Requests: []string{"request:a"}, BegunAt: at(closedAt - 10), At: at(closedAt),
		})
		guard.Dialed(server(n), true)
		g.Expect(guard.Confirm(at(closedAt + 300))).To(gomega.BeEmpty())
		guard.Registered(at(closedAt+900), crashguard.Incarnation{ServerID: "next", Born: int64(n) + 2}, "a:1")
		guard.Confirm(at(closedAt + 901))
	}
	g.Expect(guard.Ends("request:a")).To(gomega.Equal(2))
	g.Expect(allowed(guard, 2000, "request:a")).To(gomega.BeFalse())
}

// Guards against ends that are made up of the entries of other servers, of the same incarnation or of one long after.
func TestOtherEntriesProveNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	guard.Broken(crashguard.Break{Server: server(0), Address: "a:1", Parts: []string{"p"}, BegunAt: at(0), At: at(100)})
	guard.BytesReceived(at(200), server(0))
	guard.Registered(at(300), server(0), "a:1")
	guard.Registered(at(300), crashguard.Incarnation{ServerID: "s1", Born: 2}, "a:2")
	guard.Registered(at(5200), crashguard.Incarnation{ServerID: "s0", Born: 2}, "a:1")
	g.Expect(guard.Confirm(at(5300))).To(gomega.BeEmpty())
}

// Guards against a block because several servers ended at once for a reason of their own.
func TestEndsAtTheSameTimeCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 5 {
		endServer(guard, n, 500+n, "sound")
	}
	g.Expect(allowed(guard, 1000, "sound")).To(gomega.BeTrue())
	g.Expect(guard.Suspected([]string{"sound"})).To(gomega.BeFalse())
}

// Guards against an end that counts twice because two nodes report it, or the copies of a report.
func TestReportsOfOneEndCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 2 {
		for range 4 {
			guard.Ended(at(n*1000+800), crashguard.Report{Server: server(n), EndedAt: at(n*1000 + 500), Suspects: []crashguard.Suspect{
				{Part: "p", BegunAt: at(n*1000 + 400), Ends: n + 1, FirstEndAt: at(500)},
			}})
			endServer(guard, n, n*1000+500, "p")
		}
	}
	g.Expect(allowed(guard, 3000, "p")).To(gomega.BeTrue())
	endServer(guard, 2, 2500, "p")
	g.Expect(allowed(guard, 3000, "p")).To(gomega.BeFalse())
}

// Guards against closed connections of a server that goes on, which count as its end.
func TestServerThatGoesOnHasNotEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 5 {
		ms := n * 1000
		guard.Broken(crashguard.Break{Server: server(n), Parts: []string{"p"}, BegunAt: at(ms), At: at(ms + 100)})
		guard.BytesReceived(at(ms+110), server(n))
		g.Expect(guard.Pending()).To(gomega.BeTrue(), "bytes that were received before the end")
		guard.BytesReceived(at(ms+200), server(n+1))
		guard.BytesReceived(at(ms+200), server(n))
		g.Expect(guard.Pending()).To(gomega.BeFalse())
		g.Expect(guard.Confirm(at(ms + 400))).To(gomega.BeEmpty())
	}
	g.Expect(allowed(guard, 9000, "p")).To(gomega.BeTrue())
}

// Guards against a block of a part that was answered, here or at another node, before the end was confirmed or after.
func TestAnsweredPartIsNotBlocked(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, answer := range []func(guard *crashguard.Guard, ms int){
		func(guard *crashguard.Guard, ms int) { guard.Answered(at(ms), []string{"p"}) },
		func(guard *crashguard.Guard, ms int) {
			guard.Acquitted(at(ms+5), crashguard.Acquittal{Part: "p", At: at(ms)}, crashguard.ReasonAnswered)
		},
	} {
		for _, after := range []int{10, 400} {
			guard := crashguard.New()
			for n := range 6 {
				guard.Broken(crashguard.Break{
					Server: server(n), Parts: []string{"p"}, BegunAt: at(n*1000 + 400), At: at(n*1000 + 500),
				})
				if after < 250 {
					answer(guard, n*1000+500+after)
				}
				guard.Confirm(at(n*1000 + 750))
				if after > 250 {
					answer(guard, n*1000+500+after)
				}
			}
			g.Expect(allowed(guard, 9000, "p")).To(gomega.BeTrue())
		}
	}
}

// Guards against a node that blocks a sound part because the answers came at another node.
func TestAnswersAtOtherNodesAreHeardBeforeTheBlock(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := crashguard.New(), crashguard.New()
	for n := range 4 {
		there.Answered(at(n*1000+600), []string{"p"})
		for _, report := range endServer(here, n, n*1000+500, "p") {
			for _, acquittal := range there.Ended(at(n*1000+755), report) {
				here.Acquitted(at(n*1000+760), acquittal, crashguard.ReasonAnswered)
			}
		}
		g.Expect(allowed(here, n*1000+800, "p")).To(gomega.BeTrue(), "after %d ends", n+1)
		g.Expect(allowed(there, n*1000+800, "p")).To(gomega.BeTrue())
	}
}

// block returns a guard at which the part is blocked from about 2750 ms on.
func block(part string) *crashguard.Guard {
	guard := crashguard.New()
	for n := range 3 {
		endServer(guard, n, n*1000+500, part)
	}
	return guard
}

// Guards against a wrong block that never ends, and against trials by several nodes or in quick succession.
func TestTrialsAreRareAndAnAnswerEndsTheBlock(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := block("p")
	const minute = 60_000
	g.Expect(guard.Check(at(minute), []string{"p"}, anyNode).Allowed).To(gomega.BeFalse())
	g.Expect(guard.Check(at(minute+2750), []string{"p"}, noNode).Allowed).To(gomega.BeFalse(), "not this node's turn")
	trial := guard.Check(at(minute+2750), []string{"p"}, anyNode)
	g.Expect(trial.Allowed && trial.Trial).To(gomega.BeTrue())
	g.Expect(guard.Check(at(minute+2760), []string{"p"}, anyNode).Allowed).To(gomega.BeFalse(), "one trial at a time")
	endServer(guard, 7, minute+3000, "p")
	g.Expect(guard.Check(at(2*minute), []string{"p"}, anyNode).Allowed).To(gomega.BeFalse())
	g.Expect(guard.Check(at(3*minute), []string{"p"}, anyNode).Allowed).To(gomega.BeFalse(), "the pause doubles")
	g.Expect(guard.Check(at(3*minute+3250), []string{"p"}, anyNode).Trial).To(gomega.BeTrue())
	g.Expect(guard.Answered(at(3*minute+3500), []string{"p"})).To(gomega.HaveLen(1))
	g.Expect(allowed(guard, 3*minute+3500, "p")).To(gomega.BeTrue())
}

// Guards against requests in progress when the part was blocked, which end servers and postpone the trial.
func TestRequestsSentBeforeTheBlockAreNoTrials(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := block("p")
	before, _ := guard.Block("p")
	guard.Broken(crashguard.Break{Server: server(8), Parts: []string{"p"}, BegunAt: at(2700), At: at(2900)})
	guard.Confirm(at(3200))
	after, _ := guard.Block("p")
	g.Expect(after.Level).To(gomega.Equal(before.Level))
}

// Guards against a block that lasts although nobody asks for the part any more.
func TestUnusedBlockLapses(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := block("p")
	const tenMinutes = 600_000
	g.Expect(allowed(guard, tenMinutes, "p")).To(gomega.BeFalse())
	g.Expect(guard.Blocks(at(tenMinutes+5000))).To(gomega.HaveLen(1), "a request asked for it")
	g.Expect(guard.Blocks(at(2*tenMinutes + 1000))).To(gomega.BeEmpty())
	g.Expect(allowed(guard, 2*tenMinutes+1000, "p")).To(gomega.BeTrue())
}

// Guards against a node that starts and doesn't know the blocks, and against one whose block outlives an answer elsewhere.
func TestBlocksAndAnswersReachNodesThatMissedThem(t *testing.T) {
	g := gomega.NewWithT(t)
	blocked, started, answered := block("p"), crashguard.New(), crashguard.New()
	answered.Answered(at(5000), []string{"p"})
	for _, state := range blocked.Blocks(at(4000)) {
		_, isAnswered := started.Merge(at(6000), state)
		g.Expect(isAnswered).To(gomega.BeFalse())
		acquittal, isAnswered := answered.Merge(at(6000), state)
		g.Expect(isAnswered).To(gomega.BeTrue())
		g.Expect(allowed(answered, 6000, "p")).To(gomega.BeTrue())
		g.Expect(allowed(started, 6000, "p")).To(gomega.BeFalse())
		blocked.Acquitted(at(6005), acquittal, crashguard.ReasonAnswered)
		started.Acquitted(at(6005), acquittal, crashguard.ReasonAnswered)
		_, isAnswered = started.Merge(at(6010), state)
		g.Expect(isAnswered).To(gomega.BeTrue())
	}
	g.Expect(allowed(blocked, 6010, "p")).To(gomega.BeTrue())
	g.Expect(allowed(started, 6010, "p")).To(gomega.BeTrue())
}

// Guards against memory that grows with the number of parts that callers send, and against blocks that give way to them.
func TestNumberOfPartsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := block("p")
	for n := range 20_000 {
		endServer(guard, 100+n, 10_000+n, fmt.Sprintf("part-%d", n))
		guard.Answered(at(10_000+n), []string{fmt.Sprintf("answered-%d", n)})
	}
	_, parts := guard.Lost()
	g.Expect(parts).To(gomega.BeNumerically(">", 15_000))
	g.Expect(allowed(guard, 31_000, "p")).To(gomega.BeFalse())
	for n := range 1000 {
		many := make([]string, 100)
		for i := range many {
			many[i] = fmt.Sprintf("many-%d-%d", n, i)
		}
		guard.Ended(at(35_000), crashguard.Report{Server: server(n), EndedAt: at(35_000)})
		endServer(guard, 50_000+n, 35_000, many...)
	}
	g.Expect(allowed(guard, 36_000, "p")).To(gomega.BeFalse())
	guard.Lost()
	for n := range 1000 {
		guard.Broken(crashguard.Break{Server: server(n), Parts: []string{"q"}, BegunAt: at(40_000), At: at(40_000)})
	}
	breaks, _ := guard.Lost()
	g.Expect(breaks).To(gomega.BeNumerically(">", 0))
}
