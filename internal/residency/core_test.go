package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

var start = time.Unix(1_000_000, 0)

const model = "base"

func engine(slots int) serving.Engine {
	return serving.Engine{
		Models:    []serving.BaseModel{{Name: model, WeightsMB: 65000, LoadTime: 600 * time.Millisecond}},
		WeightsMB: 66800, AdapterSlots: slots, LoadsPerSecond: 3,
	}
}

func adapter(n int) serving.Adapter {
	return serving.Adapter{Model: model, Name: fmt.Sprintf("a%d", n)}
}

// server simulates a model server as specified by the platform: it carries out orders immediately, after a delay, or
// not at all, and checks the count of orders when it carries them out.
type server struct {
	slots    int
	hasBase  bool
	orders   int64
	adapters map[serving.Adapter]int
	loading  map[serving.Adapter]time.Time
	inUse    map[serving.Adapter]int
	maxHeld  int
	delayed  []serving.Order
	evicted  []serving.Adapter
}

func newServer(slots int) *server {
	return &server{
		slots: slots, hasBase: true, adapters: map[serving.Adapter]int{}, loading: map[serving.Adapter]time.Time{},
		inUse: map[serving.Adapter]int{},
	}
}

func (s *server) finishLoads(now time.Time) {
	for a, at := range s.loading {
		if !now.Before(at) {
			delete(s.loading, a)
			s.adapters[a] = 1
		}
	}
	s.maxHeld = max(s.maxHeld, len(s.adapters)+len(s.loading))
}

func (s *server) execute(now time.Time, order serving.Order) serving.OrderOutcome {
	s.finishLoads(now)
	a := order.Adapter
	_, isLoading := s.loading[a]
	_, isPresent := s.adapters[a]
	switch {
	case order.Kind == serving.Load && isLoading:
		return serving.OrderAccepted
	case order.Kind == serving.Load && isPresent && order.Version <= s.adapters[a]:
		return serving.OrderDone
	case order.AfterOrders != s.orders:
		return serving.OrderConflict
	case order.Kind == serving.Unload:
		s.orders++
		s.evicted = append(s.evicted, a)
		delete(s.adapters, a)
		return serving.OrderDone
	}
	s.orders++
	if a.Name == "" {
		s.hasBase = true
		return serving.OrderAccepted
	}
	s.loading[a] = now.Add(240 * time.Millisecond)
	s.finishLoads(now)
	return serving.OrderAccepted
}

func (s *server) report(now time.Time) serving.Report {
	s.finishLoads(now)
	report := serving.Report{
		Orders: s.orders, Models: map[string]bool{}, Adapters: map[serving.Adapter]int{},
		Loading: map[serving.Adapter]int{},
	}
	if s.hasBase {
		report.Models[model] = true
	}
	for a, version := range s.adapters {
		report.Adapters[a] = version
	}
	for a := range s.loading {
		report.Loading[a] = 0
	}
	return report
}

// drive runs the core against the server from one time until another and returns the time at the end. lose reports
// whether the answer to an order is lost.
func drive(c *residency.Core, s *server, from, until time.Time, lose func(serving.Order) bool) time.Time {
	now := from
	for now.Before(until) {
		action := c.Next(now, true)
		switch action.Kind {
		case residency.Report:
			c.Reported(now, now, s.report(now))
		case residency.Order:
			outcome := s.execute(now, action.Order)
			if lose != nil && lose(action.Order) {
				outcome = serving.OrderUnknown
			}
			c.Ordered(now, action.Order, outcome)
			now = now.Add(time.Millisecond)
		case residency.Wait:
			now = now.Add(5 * time.Millisecond)
		}
	}
	return now
}

func demand(c *residency.Core, now time.Time, adapters ...serving.Adapter) {
	byAdapter := map[serving.Adapter]residency.AdapterDemand{}
	for _, a := range adapters {
		byAdapter[a] = residency.AdapterDemand{Waiting: 1, Patience: time.Second}
	}
	c.NoteUsage(now, residency.Usage{Node: "g", Wants: byAdapter})
}

// Guards against orders with a wrong count: the server doesn't count a repeated order for an adapter that is loading.
// On rmams-epaves quiet-1, 7,579 of 8,035 orders were refused.
func TestRepeatedOrdersAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(8), residency.New(residency.Options{Engine: engine(8), Servers: 1})
	now := start
	refused := 0
	for n := range 6 {
		demand(c, now, adapter(n))
		now = drive(c, s, now, now.Add(320*time.Millisecond), nil)
		if _, present := c.Snapshot(now).Adapters[adapter(n)]; !present {
			refused++
		}
	}
	g.Expect(refused).To(gomega.BeZero())
	g.Expect(s.orders).To(gomega.BeEquivalentTo(6))
}

// Guards against an eviction of an adapter that a request uses.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(2), residency.New(residency.Options{Engine: engine(2), Servers: 1})
	s.adapters[adapter(1)], s.adapters[adapter(2)] = 1, 1
	now := drive(c, s, start, start.Add(time.Second), nil)
	inUse := map[serving.Adapter]int{adapter(1): 1, adapter(2): 1}
	for range 20 {
		c.NoteUsage(now, residency.Usage{Node: "a", Running: inUse})
		demand(c, now, adapter(3))
		now = drive(c, s, now, now.Add(100*time.Millisecond), nil)
	}
	g.Expect(s.evicted).To(gomega.BeEmpty())
	g.Expect(c.SlotQueue(now).Wait(0)).To(gomega.BeNumerically(">", 0))

	c.NoteUsage(now, residency.Usage{Node: "a", Running: map[serving.Adapter]int{adapter(2): 1}})
	demand(c, now, adapter(3))
	drive(c, s, now, now.Add(400*time.Millisecond), nil)
	g.Expect(s.evicted).To(gomega.ConsistOf(adapter(1)))
	g.Expect(s.adapters).To(gomega.HaveKey(adapter(3)))
}

// Guards against orders to load more adapters than the server has slots, which crashes it, including when answers are
// lost and orders are carried out late.
func TestServerNeverHoldsMoreThanItsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		s, c := newServer(slots), residency.New(residency.Options{Engine: engine(slots), Servers: 1})
		now := start
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			demand(c, now, adapter(rapid.IntRange(0, 12).Draw(t, "adapter")))
			lossy := rapid.IntRange(0, 3).Draw(t, "lossy") == 0
			lose := func(order serving.Order) bool {
				if lossy && rapid.Bool().Draw(t, "lost") {
					s.delayed = append(s.delayed, order)
					return true
				}
				return false
			}
			now = drive(c, s, now, now.Add(time.Duration(rapid.IntRange(10, 700).Draw(t, "ms"))*time.Millisecond), lose)
			if len(s.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				s.execute(now, s.delayed[0])
				s.delayed = s.delayed[1:]
			}
			if s.maxHeld > slots {
				t.Fatalf("the server held %d adapters in %d slots", s.maxHeld, slots)
			}
		}
	})
}

// Guards against a server that remains without weights after a crash.
func TestEmptyServerLoadsItsBaseModelFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(8), residency.New(residency.Options{Engine: engine(8), Servers: 1})
	s.hasBase = false
	demand(c, start, adapter(1))
	now := drive(c, s, start, start.Add(200*time.Millisecond), nil)
	g.Expect(s.hasBase).To(gomega.BeTrue())
	demand(c, now, adapter(1))
	now = drive(c, s, now, now.Add(500*time.Millisecond), nil)
	g.Expect(c.Snapshot(now).Ready).To(gomega.BeTrue())
	g.Expect(s.adapters).To(gomega.HaveKey(adapter(1)))
}

// Guards against loads of base weights beyond the weight store's rate when servers crash repeatedly.
func TestBaseLoadsKeepTheStoresRate(t *testing.T) {
	g := gomega.NewWithT(t)
	c := residency.New(residency.Options{Engine: engine(8), Servers: 9})
	loads := 0
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		action := c.Next(now, true)
		switch action.Kind {
		case residency.Report:
			c.Reported(now, now, serving.Report{Models: map[string]bool{}})
		case residency.Order:
			loads++
			c.Ordered(now, action.Order, serving.OrderAccepted)
		}
	}
	g.Expect(loads).To(gomega.BeNumerically("<=", 11))
}

// Guards against an outdated version that remains loaded after a newer one was declared.
func TestOutdatedAdapterIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(4), residency.New(residency.Options{Engine: engine(4), Servers: 1})
	s.adapters[adapter(1)] = 1
	now := drive(c, s, start, start.Add(time.Second), nil)
	c.Declare(now, serving.AdapterVersion{Adapter: adapter(1), Version: 2})
	action := c.Next(now, true)
	if action.Kind == residency.Report {
		c.Reported(now, now, s.report(now))
		action = c.Next(now, true)
	}
	g.Expect(action.Order).To(gomega.HaveField("Version", 2))
	c.Ordered(now, action.Order, serving.OrderAccepted)
	g.Expect(c.Snapshot(now).Adapters).NotTo(gomega.HaveKey(adapter(1)))
}

// Guards against a popular adapter without further copies because no single node sees enough requests for it.
func TestAdapterWithALargeShareOfUsesIsHot(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	popular, rare := serving.Adapter{Model: "m", Name: "a"}, serving.Adapter{Model: "m", Name: "b"}
	c := residency.New(residency.Options{Engine: serving.Engine{AdapterSlots: 4}})
	c.Reported(now, now, serving.Report{
		Models: map[string]bool{"m": true}, Adapters: map[serving.Adapter]int{popular: 1, rare: 1},
	})
	use := func(adapter serving.Adapter, node string) {
		c.NoteUsage(now, residency.Usage{Node: node, Sent: map[serving.Adapter]int{adapter: 1}})
	}
	use(rare, "n1")
	g.Expect(c.Snapshot(now).Hot.IsZero()).To(gomega.BeTrue())
	for i := range 6 {
		use(popular, fmt.Sprintf("n%d", i))
	}
	g.Expect(c.Snapshot(now).Hot).To(gomega.Equal(popular))
}

// Guards against nodes that ask a server for more adapters than it has slots for, while others are idle: the estimated
// wait grows with each adapter that waits, and is none while a slot can be freed.
func TestPlaceWaitGrowsWithTheAdaptersThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(2), residency.New(residency.Options{Engine: engine(2), Servers: 1})
	s.adapters[adapter(1)], s.adapters[adapter(2)] = 1, 1
	now := drive(c, s, start, start.Add(time.Second), nil)
	g.Expect(c.SlotQueue(now).Wait(0)).To(gomega.BeZero())
	c.NoteUsage(now, residency.Usage{Node: "a", Running: map[serving.Adapter]int{adapter(1): 1, adapter(2): 1}})
	one := c.SlotQueue(now).Wait(0)
	demand(c, now, adapter(3))
	two := c.SlotQueue(now).Wait(0)
	demand(c, now, adapter(3), adapter(4))
	g.Expect(one).To(gomega.BeNumerically(">", 0))
	g.Expect(two).To(gomega.Equal(2 * one))
	g.Expect(c.SlotQueue(now).Wait(0)).To(gomega.Equal(3 * one))
}

// Guards against loads that no request uses: requests that have stopped waiting, and those that give up before the load
// would end, get none.
func TestDemandThatNoLoadCanServeIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s, c := newServer(2), residency.New(residency.Options{Engine: engine(2), Servers: 1})
	now := drive(c, s, start, start.Add(time.Second), nil)
	impatient := residency.AdapterDemand{Waiting: 1, Patience: 50 * time.Millisecond}
	c.NoteUsage(now, residency.Usage{
		Node: "a", Wants: map[serving.Adapter]residency.AdapterDemand{adapter(1): impatient},
	})
	demand(c, now, adapter(2))
	demand(c, now)
	now = drive(c, s, now, now.Add(time.Second), nil)
	g.Expect(s.adapters).To(gomega.BeEmpty())
	demand(c, now, adapter(3))
	drive(c, s, now, now.Add(300*time.Millisecond), nil)
	g.Expect(s.adapters).To(gomega.HaveKey(adapter(3)))
}

// Guards against a holder whose reports, orders and polls exceed the limit that its server names.
func TestLimitedServerGetsFewCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	c, s := residency.New(residency.Options{Engine: engine(3), Servers: 3}), newServer(3)
	const interval = time.Second
	c.SetCallInterval(interval)
	calls, loaded := 0, map[serving.Adapter]bool{}
	now := start
	for step := 0; now.Before(start.Add(30 * interval)); step++ {
		demand(c, now, adapter(step/100), adapter(step/100+1), adapter(step/100+2))
		action := c.Next(now, true)
		switch action.Kind {
		case residency.Report:
			calls++
			if step%7 == 0 {
				c.ReportFailed(now)
			} else {
				c.Reported(now, now, s.report(now))
			}
		case residency.Order:
			calls++
			c.Ordered(now, action.Order, s.execute(now, action.Order))
		case residency.Wait:
			now = now.Add(10 * time.Millisecond)
		}
		for a := range s.adapters {
			loaded[a] = true
		}
	}
	g.Expect(calls).To(gomega.BeNumerically("<=", 30))
	g.Expect(loaded).NotTo(gomega.BeEmpty())
}

// Guards against load times that stay constants: the nodes choose the server of a load by them.
func TestLoadTimesAreLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	c := residency.New(residency.Options{Engine: engine(8), Servers: 1})
	g.Expect(c.LoadTimes()).To(gomega.Equal(serving.LoadTimes{}))
	now := start
	for n := range 30 {
		order := serving.Order{Kind: serving.Load, Adapter: adapter(n), Version: 1}
		c.Ordered(now, order, serving.OrderAccepted)
		now = now.Add(400 * time.Millisecond)
		c.Ordered(now, order, serving.OrderDone)
		c.Ordered(now, order, serving.OrderDone)
	}
	g.Expect(c.LoadTimes()).To(gomega.Equal(serving.LoadTimes{Cold: 400 * time.Millisecond}))
	c.Ordered(now, serving.Order{Kind: serving.Unload, Adapter: adapter(1)}, serving.OrderDone)
	again := serving.Order{Kind: serving.Load, Adapter: adapter(1), Version: 1}
	c.Ordered(now, again, serving.OrderAccepted)
	c.Ordered(now.Add(40*time.Millisecond), again, serving.OrderDone)
	g.Expect(c.LoadTimes().Warm).To(gomega.Equal(40 * time.Millisecond))
}
