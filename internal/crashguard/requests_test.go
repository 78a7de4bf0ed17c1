package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
)

func identity(caller string) crashguard.RequestIdentity {
	return crashguard.RequestIdentity{
		Method: "GET", Host: "example.com", Target: "/a?b=c", Body: []byte("body"), Caller: caller,
	}
}

// endServerUnder ends a server under a request that began at begunMs; nobody listens there any more.
func endServerUnder(g *crashguard.Guard, n, begunMs, endedMs int, keys ...string) []crashguard.Report {
	g.Broken(crashguard.Break{Server: server(n), Requests: keys, BegunAt: at(begunMs), At: at(endedMs)})
	g.Dialed(server(n), false)
	return g.Confirm(at(endedMs + 2))
}

// Guards against keys that are equal for different requests, or differ for the repeats of one.
func TestKeysTellRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	all := map[string]bool{}
	for _, change := range []func(*crashguard.RequestIdentity){
		func(*crashguard.RequestIdentity) {},
		func(r *crashguard.RequestIdentity) { r.Method = "POST" },
		func(r *crashguard.RequestIdentity) { r.Host = "example.org" },
		func(r *crashguard.RequestIdentity) { r.Target = "/a" },
		func(r *crashguard.RequestIdentity) { r.Body = []byte("other") },
		func(r *crashguard.RequestIdentity) { r.Target, r.Body = "/a?b=cb", []byte("ody") },
	} {
		r := identity("10.0.0.1")
		change(&r)
		keys := r.Keys()
		g.Expect(keys).To(gomega.HaveLen(2))
		g.Expect(r.Keys()).To(gomega.Equal(keys))
		for _, key := range keys {
			g.Expect(all).NotTo(gomega.HaveKey(key))
			g.Expect(crashguard.IsRequest(key)).To(gomega.BeTrue())
			all[key] = true
		}
	}
	first, second := identity("10.0.0.1").Keys(), identity("10.0.0.2").Keys()
	g.Expect(first[0]).To(gomega.Equal(second[0]))
	g.Expect(first[1]).NotTo(gomega.Equal(second[1]))
}

// Guards against a request that is sent to server after server, each time as soon as the one before has ended.
func TestRequestIsBlockedAfterTwoEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	keys := identity("10.0.0.1").Keys()
	g.Expect(guard.WatchesRequests(at(0))).To(gomega.BeFalse())
	endServerUnder(guard, 0, 400, 500, keys...)
	g.Expect(guard.WatchesRequests(at(502))).To(gomega.BeTrue())
	g.Expect(allowed(guard, 502, keys...)).To(gomega.BeTrue())
	endServerUnder(guard, 1, 503, 550, keys...)
	g.Expect(allowed(guard, 552, keys...)).To(gomega.BeFalse())
	g.Expect(allowed(guard, 552, identity("10.0.0.2").Keys()...)).To(gomega.BeTrue(), "another caller")
	endServerUnder(guard, 2, 600, 700, identity("10.0.0.2").Keys()...)
	g.Expect(allowed(guard, 702, identity("10.0.0.3").Keys()...)).To(gomega.BeFalse(), "the same from everybody")
}

// Guards against a third send of a request before the ends of its servers are confirmed.
func TestRequestIsNotSentAgainBeforeItsEndsAreConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 2 {
		g.Expect(guard.Suspected([]string{"request:a"})).To(gomega.BeFalse(), "%d ends", n)
		guard.Broken(crashguard.Break{Server: server(n), Requests: []string{"request:a"}, BegunAt: at(n), At: at(n + 1)})
	}
	g.Expect(guard.Suspected([]string{"request:a"})).To(gomega.BeTrue())
	guard.Dialed(server(0), true)
	g.Expect(guard.Suspected([]string{"request:a"})).To(gomega.BeFalse())
}

// Guards against requests that are blocked because several of their servers end at one moment, or one of them ends once.
func TestOnlyEndsOneAfterTheOtherCountForARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 4 {
		endServerUnder(guard, n, 100+n, 500+n, "request:a")
		endServerUnder(guard, 9, 510+n, 520+n, "request:b")
	}
	g.Expect(allowed(guard, 600, "request:a")).To(gomega.BeTrue())
	g.Expect(allowed(guard, 600, "request:b")).To(gomega.BeTrue())
}

// Guards against one server that ends once and counts twice, since two nodes see its end at different times.
func TestOneIncarnationEndsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 3 {
		for _, key := range []string{"request:a", "part"} {
			guard.Ended(at(n*500+50), crashguard.Report{Server: server(0), EndedAt: at(n * 500), Suspects: []crashguard.Suspect{
				{Part: key, BegunAt: at(n*500 - 100), Ends: 1, FirstEndAt: at(n * 500)},
			}})
			g.Expect(guard.Ends(key)).To(gomega.Equal(1))
		}
	}
}

// Guards against a request that counts as the cause because a server closed its connection and goes on.
func TestServerThatListensHasNotEndedUnderARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 3 {
		guard.Broken(crashguard.Break{Server: server(n), Requests: []string{"request:a"}, BegunAt: at(n * 500), At: at(n*500 + 9)})
		guard.Dialed(server(n), true)
		g.Expect(guard.Confirm(at(n*500 + 300))).To(gomega.BeEmpty())
	}
	g.Expect(allowed(guard, 2000, "request:a")).To(gomega.BeTrue())
}

// Guards against an end that counts only after the time in which a server could show that it goes on.
func TestRefusedConnectionConfirmsAnEndAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	g.Expect(endServerUnder(guard, 0, 0, 100, "request:a")).To(gomega.HaveLen(1))
	guard.Broken(crashguard.Break{Server: server(1), Requests: []string{"request:a"}, BegunAt: at(110), At: at(200)})
	g.Expect(guard.Confirm(at(202))).To(gomega.BeEmpty(), "nothing is known")
	g.Expect(guard.Confirm(at(450))).To(gomega.HaveLen(1), "silence")
}

// Guards against a sound request that stays blocked although it was answered, here or at another node.
func TestAnswerProvesARequestSound(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, other := crashguard.New(), crashguard.New()
	var reports []crashguard.Report
	reports = append(reports, endServerUnder(guard, 0, 0, 100, "request:a")...)
	g.Expect(other.Ended(at(104), reports[0])).To(gomega.BeEmpty())
	other.Answered(at(300), []string{"request:a"})
	second := endServerUnder(guard, 1, 400, 500, "request:a")
	g.Expect(allowed(guard, 502, "request:a")).To(gomega.BeFalse())
	acquitted := other.Ended(at(504), second[0])
	g.Expect(acquitted).To(gomega.HaveLen(1))
	g.Expect(allowed(other, 505, "request:a")).To(gomega.BeTrue())
	guard.Acquitted(at(506), acquitted[0], crashguard.ReasonAnswered)
	g.Expect(allowed(guard, 507, "request:a")).To(gomega.BeTrue())
}

// Guards against trials that end server after server for one caller.
func TestTrialsOfARequestAreFew(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	endServerUnder(guard, 0, 0, 100, "request:a")
	endServerUnder(guard, 1, 101, 200, "request:a")
	sent := 0
	for minute := range 24 * 60 {
		now := start.Add(time.Duration(minute)*time.Minute + time.Second)
		if decision := guard.Check(now, []string{"request:a"}, anyNode); decision.Allowed {
			g.Expect(decision.Trial).To(gomega.BeTrue())
			g.Expect(minute).To(gomega.BeNumerically(">=", 10))
			sent++
		}
	}
	g.Expect(sent).To(gomega.Equal(3))
}

// Guards against a block that lapses while callers still repeat the request, or never.
func TestBlockOfARequestLapsesUnused(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	endServerUnder(guard, 0, 0, 100, "request:a")
	endServerUnder(guard, 1, 101, 200, "request:a")
	minute := func(m int) int { return m * 60_000 }
	g.Expect(allowed(guard, minute(50), "request:a")).To(gomega.BeFalse())
	g.Expect(allowed(guard, minute(100), "request:a")).To(gomega.BeFalse())
	g.Expect(allowed(guard, minute(161), "request:a")).To(gomega.BeTrue())
	g.Expect(guard.WatchesRequests(at(minute(161)))).To(gomega.BeFalse())
}

// Guards against a part that goes on to crash servers because a request with it was blocked first.
func TestBlockOfARequestLeavesItsEndsToTheParts(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 3 {
		endedMs := n*1000 + 500
		guard.Broken(crashguard.Break{
			Server: server(n), Parts: []string{"bad"}, Requests: []string{fmt.Sprintf("request:%d", n/2)},
			BegunAt: at(endedMs - 100), At: at(endedMs),
		})
		guard.Dialed(server(n), false)
		guard.Confirm(at(endedMs + 2))
	}
	g.Expect(allowed(guard, 3000, "request:0")).To(gomega.BeFalse())
	g.Expect(allowed(guard, 3000, "bad")).To(gomega.BeFalse())
}

// Guards against many requests that take the place of the parts, and against unbounded state.
func TestRequestsTakeNoRoomOfParts(t *testing.T) {
	g := gomega.NewWithT(t)
	guard := crashguard.New()
	for n := range 2 {
		endServer(guard, n, n*500+500, "part")
	}
	for n := range 3000 {
		endServerUnder(guard, n+10, 2000+n, 2000+n, fmt.Sprintf("request:%d", n))
	}
	g.Expect(guard.Suspected([]string{"part"})).To(gomega.BeTrue())
	_, dropped := guard.Lost()
	g.Expect(dropped).To(gomega.Equal(3000 - 1024))
}

// Guards against a request that comes again at any node and is sent to servers after three have ended, whatever the number
// of nodes, the pause between repeats and lost messages.
func TestRepeatedRequestEndsFewServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "nodes"))
		callers, pauseMs := rapid.IntRange(1, 3).Draw(t, "callers"), rapid.IntRange(100, 3000).Draw(t, "pause in ms")
		d.after(time.Second, func() {
			d.load(pauseMs, func() []string { return identity(fmt.Sprint(d.random.IntN(callers))).Keys() })
		})
		d.run()
		late, third := 0, time.Time{}
		if len(d.badEnds) >= 3 {
			third = d.badEnds[2].Add(graceTime)
		}
		for _, sentAt := range d.badSent {
			if !third.IsZero() && sentAt.After(third) {
				late++
			}
		}
		if late > allowedAfter {
			t.Errorf("the request was sent %d times too late, %d servers ended", late, len(d.badEnds))
		}
	})
}
