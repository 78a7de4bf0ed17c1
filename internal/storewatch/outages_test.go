package storewatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// startedAt returns a time in ms since start, and the reading of a clock that goes on while the VM is suspended.
func startedAt(ms int) (time.Time, time.Duration) {
	after := time.Duration(ms) * time.Millisecond
	return start.Add(after), after
}

// served makes calls of the store succeed from one time to another, in ms since start.
func served(o *storewatch.Outages, from, to int) {
	for ms := from; ms <= to; ms += 500 {
		now, boot := startedAt(ms)
		o.Served(now, now, boot)
	}
}

// runs makes the process run without any call, from one time to another.
func runs(o *storewatch.Outages, from, to int) {
	for ms := from; ms <= to; ms += 300 {
		o.Running(startedAt(ms))
	}
}

// newOutages returns the outages of a process that runs and whose calls have succeeded for some seconds, up to 0 ms.
func newOutages() *storewatch.Outages {
	o := &storewatch.Outages{}
	served(o, -6000, 0)
	return o
}

// goneAfter returns how long after a time, in ms since start, an entry that is missing then counts as removed.
func goneAfter(o *storewatch.Outages, ms int) time.Duration {
	now, _ := startedAt(ms)
	return o.GoneAt(now).Sub(now)
}

// Guards against requests to a server whose entry was removed while the store served, because a call has failed or because nobody has
// read it for a moment, as when the readers end.
func TestMissingEntryIsGoneAtOnceWhileTheStoreServes(t *testing.T) {
	for name, disturb := range map[string]func(o *storewatch.Outages){
		"nothing": func(o *storewatch.Outages) { served(o, 500, 2000) },
		"failures beside calls that are served": func(o *storewatch.Outages) {
			for ms := 0; ms < 2000; ms += 500 {
				o.Failed(start.Add(time.Duration(ms) * time.Millisecond))
				served(o, ms+400, ms+400)
			}
		},
		"no call for a while": func(o *storewatch.Outages) { runs(o, 300, 1800) },
		"a gap in which no entry lapses": func(o *storewatch.Outages) {
			served(o, 500, 1500)
			o.Failed(start.Add(1100 * time.Millisecond))
		},
	} {
		g := gomega.NewWithT(t)
		o := newOutages()
		disturb(o)
		served(o, 2000, 2000)
		g.Expect(goneAfter(o, 2000)).To(gomega.BeZero(), name)
	}
}

// Guards against dropping all servers when their entries lapse in an outage of the store, and against requests to a server that left
// more than two seconds ago (haneul-ad scale-2, seed 785203314788): its entry disappeared 2.25 s after an outage had ended, but got the
// grace of entries that lapse in one.
func TestMissingEntryMayReappearAfterAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutages()
	runs(o, 300, 3900)
	o.Failed(start.Add(3600 * time.Millisecond))
	served(o, 4000, 5500)
	g.Expect(goneAfter(o, 4100)).To(gomega.Equal(2100 * time.Millisecond))
	g.Expect(goneAfter(o, 6100)).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(goneAfter(o, 6250)).To(gomega.BeZero())
}

// Guards against servers that are used 3 s after an outage, since the calls that fell into it failed long after its end.
func TestGraceCountsFromTheLastCallThatFellIntoTheOutage(t *testing.T) {
	for sentAt, graceEnds := range map[int]int{-100: 2900, 1500: 4400} {
		g := gomega.NewWithT(t)
		o := newOutages()
		runs(o, 300, 2900)
		o.Failed(start.Add(time.Duration(sentAt) * time.Millisecond))
		served(o, 3000, 3000)
		expected := time.Duration(max(graceEnds-3000, 0)) * time.Millisecond
		g.Expect(goneAfter(o, 3000)).To(gomega.Equal(expected), "sent %d ms after the last call that was served", sentAt)
	}
}

// Guards against an outage that no call shows, since this process or its VM stood still over it.
func TestOutageWhileTheProcessStandsStillIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutages()
	served(o, 5000, 5000)
	g.Expect(goneAfter(o, 5000)).To(gomega.Equal(2200*time.Millisecond), "the process")
	o = newOutages()
	now, _ := startedAt(300)
	o.Served(now, now, 5*time.Second)
	g.Expect(goneAfter(o, 300)).To(gomega.Equal(2200*time.Millisecond), "the VM")
}

// Guards against dropping all servers whose entries a store that has returned from a copy lacks.
func TestMissingEntryMayReappearAfterAReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutages()
	o.Returned(start)
	g.Expect(goneAfter(o, 0)).To(gomega.Equal(2200 * time.Millisecond))
}
