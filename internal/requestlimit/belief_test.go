package requestlimit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func named(perSecond float64, requested, received int) requestlimit.Notice {
	return requestlimit.Notice{
		Limited: true, PerSecond: perSecond, RequestedAt: at(requested), ReceivedAt: at(received),
	}
}

func unlimited(requested, received int) requestlimit.Notice {
	return requestlimit.Notice{RequestedAt: at(requested), ReceivedAt: at(received)}
}

// Guards against a limit that ends because an answer from before it arrives late.
func TestLateAnswerFromBeforeTheLimitDoesNotEndIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var belief requestlimit.Belief
	g.Expect(belief.Observe(at(20), named(3, 10, 20))).To(gomega.Equal(requestlimit.Learned))
	g.Expect(belief.Observe(at(900), unlimited(5, 900))).To(gomega.Equal(requestlimit.Unchanged))
	perSecond, limited := belief.Limit()
	g.Expect(limited).To(gomega.BeTrue())
	g.Expect(perSecond).To(gomega.Equal(3.0))
	g.Expect(belief.Observe(at(1100), unlimited(1000, 1100))).To(gomega.Equal(requestlimit.Lifted))
	g.Expect(belief.Observe(at(1200), named(3, 15, 1200))).To(gomega.Equal(requestlimit.Learned),
		"it may have been made after the answer without a limit")
}

// Guards against a limit that comes back with an answer from before its end.
func TestOldAnswerDoesNotBringALimitBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var belief requestlimit.Belief
	belief.Observe(at(20), named(3, 10, 20))
	g.Expect(belief.Observe(at(1100), unlimited(1000, 1100))).To(gomega.Equal(requestlimit.Lifted))
	g.Expect(belief.Observe(at(1300), named(3, 10, 20))).To(gomega.Equal(requestlimit.Unchanged))
}

// Guards against the higher of two limits when it isn't known which is newer.
func TestLowerOfConcurrentLimitsCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	var belief requestlimit.Belief
	belief.Observe(at(20), named(3, 10, 20))
	g.Expect(belief.Observe(at(30), named(5, 12, 30))).To(gomega.Equal(requestlimit.Unchanged))
	g.Expect(belief.Observe(at(40), named(2, 12, 40))).To(gomega.Equal(requestlimit.Changed))
	g.Expect(belief.Observe(at(400), named(5, 300, 400))).To(gomega.Equal(requestlimit.Changed))
	perSecond, _ := belief.Limit()
	g.Expect(perSecond).To(gomega.Equal(5.0))
}

// Guards against a notice that becomes newer each time that nodes send it to and fro.
func TestNoticeDoesNotBecomeNewerBetweenNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	var a, b requestlimit.Belief
	a.Observe(at(20), named(3, 10, 20))
	for round := range 200 {
		const delay = 5 * time.Millisecond
		for _, pair := range [][2]*requestlimit.Belief{{&a, &b}, {&b, &a}} {
			notice, _ := pair[0].Latest()
			notice.RequestedAt, notice.ReceivedAt = notice.RequestedAt.Add(delay), notice.ReceivedAt.Add(delay)
			pair[1].Observe(at(20+round), notice)
		}
	}
	g.Expect(a.Observe(at(300), unlimited(250, 300))).To(gomega.Equal(requestlimit.Lifted))
}

// Guards against nodes that disagree for good because the same notices reached them in another order.
func TestOrderOfArrivalDoesNotMatterForSeparateAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "count")
		notices := make([]requestlimit.Notice, count)
		for i := range notices {
			requested := i * 1000
			received := requested + rapid.IntRange(1, 500).Draw(t, "duration")
			notices[i] = unlimited(requested, received)
			if rapid.Bool().Draw(t, "limited") {
				notices[i] = named(rapid.Float64Range(0, 10).Draw(t, "limit"), requested, received)
			}
		}
		var inOrder, shuffled requestlimit.Belief
		for _, notice := range notices {
			inOrder.Observe(notice.ReceivedAt, notice)
		}
		for _, i := range rapid.Permutation(indices(count)).Draw(t, "order") {
			shuffled.Observe(at(10_000), notices[i])
		}
		wantRate, wantLimited := inOrder.Limit()
		rate, limited := shuffled.Limit()
		if rate != wantRate || limited != wantLimited {
			t.Fatalf("limit %v (%v) in another order, %v (%v) in order", rate, limited, wantRate, wantLimited)
		}
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}
