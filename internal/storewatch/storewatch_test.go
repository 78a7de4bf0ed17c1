package storewatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

var start = time.Unix(1_000_000, 0)

const reader = "10.0.0.1:7000"

// Guards against a node that waits for dead readers: entries of leaving servers have to be known within 2 s.
func TestNodeReadsTheStoreWithoutDigests(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	g.Expect(c.FollowsServers(start)).To(gomega.BeFalse())
	c.DigestReceived(start, reader, storewatch.Digest{})
	g.Expect(c.FollowsServers(start.Add(500 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(c.FollowsServers(start.Add(1300 * time.Millisecond))).To(gomega.BeFalse())
	c.DigestReceived(start.Add(1300*time.Millisecond), reader, storewatch.Digest{ServersAge: 1200 * time.Millisecond})
	g.Expect(c.FollowsServers(start.Add(1350 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(c.FollowsServers(start.Add(1450*time.Millisecond))).To(gomega.BeFalse(), "the reader itself has not read")
	c.DigestReceived(start.Add(2*time.Second), reader, storewatch.Digest{})
	c.SetReader(true)
	g.Expect(c.FollowsServers(start.Add(2 * time.Second))).To(gomega.BeFalse())
}

// Guards against a node that relies on a reader whose reads of the operators' records fail while those of the servers'
// entries succeed.
func TestNodeReadsTheOperatorsRecordsWhenNoReaderDoes(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(c.FollowsOperator(start)).To(gomega.BeFalse())
	for ms := 0; ms <= 3000; ms += 300 {
		c.DigestReceived(at(ms), reader, storewatch.Digest{OperatorAge: time.Duration(ms) * time.Millisecond})
		g.Expect(c.FollowsServers(at(ms))).To(gomega.BeTrue())
		g.Expect(c.FollowsOperator(at(ms))).To(gomega.Equal(ms < 1300), "%d ms", ms)
	}
	c.DigestReceived(at(3100), "10.0.0.2:7000", storewatch.Digest{OperatorAge: 100 * time.Millisecond})
	c.DigestReceived(at(3200), reader, storewatch.Digest{OperatorAge: 3200 * time.Millisecond})
	g.Expect(c.FollowsOperator(at(4100))).To(gomega.BeTrue(), "another reader has read them")
	g.Expect(c.FollowsOperator(at(4400))).To(gomega.BeFalse())
	c.SetReader(true)
	g.Expect(c.FollowsOperator(at(3200))).To(gomega.BeFalse())
}

// Guards against reads of the store for heartbeats, which change only the offset, and against a missed change.
func TestOnlyChangesCauseReads(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	c.ReadOperator(3)
	c.ReadServers(start, 10)
	now := start.Add(time.Second)
	c.DigestReceived(now, reader, storewatch.Digest{OperatorNext: 3, ServersNext: 20, Servers: 7})
	g.Expect(c.OperatorDue()).To(gomega.BeFalse())
	g.Expect(c.ServersDue(now, 7)).To(gomega.BeFalse())
	g.Expect(c.ServersDue(now, 8)).To(gomega.BeTrue())
	c.DigestReceived(now, reader, storewatch.Digest{OperatorNext: 4, ServersNext: 15, Servers: 8})
	g.Expect(c.OperatorDue()).To(gomega.BeTrue())
	g.Expect(c.ServersDue(now, 7)).To(gomega.BeFalse())
	c.ReadServers(now, 21)
	g.Expect(c.ServersDue(now.Add(time.Second), 9)).To(gomega.BeFalse())
}

// Guards against a node that the store refuses and that doesn't fetch from a reader, and against fetches from readers
// while the store may still answer.
func TestNodeBehindTheReadersFetchesFromOne(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	c.ReadOperator(3)
	c.ReadServers(start, 10)
	c.DigestReceived(start, reader, storewatch.Digest{OperatorNext: 4, ServersNext: 10, Servers: 7})
	g.Expect(c.FetchSource(start, 7)).To(gomega.BeEmpty())
	c.DigestReceived(start.Add(300*time.Millisecond), "10.0.0.2:7000", storewatch.Digest{OperatorNext: 2, ServersNext: 9})
	later := start.Add(500 * time.Millisecond)
	g.Expect(c.FetchSource(later, 7)).To(gomega.Equal(reader))
	g.Expect(c.FetchSource(later, 7)).To(gomega.BeEmpty(), "a fetch has just begun")
	c.Fetched(storewatch.Digest{OperatorNext: 4, ServersNext: 12})
	g.Expect(c.FetchSource(later.Add(time.Second), 7)).To(gomega.BeEmpty(), "the node is not behind")
	c.DigestReceived(later.Add(time.Second), reader, storewatch.Digest{OperatorNext: 4, ServersNext: 20, Servers: 8})
	g.Expect(c.FetchSource(later.Add(time.Second), 7)).To(gomega.BeEmpty())
	g.Expect(c.FetchSource(later.Add(1500*time.Millisecond), 7)).To(gomega.Equal(reader))
	g.Expect(c.FetchSource(later.Add(time.Minute), 7)).To(gomega.BeEmpty(), "no digest arrived recently")
}

// Guards against a node that takes its view of the servers for complete after its start or after a gap.
func TestViewIsCurrentSinceItsLastLongGap(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(ms int, own uint64, currentSince int) {
		since, current := c.CheckCurrent(at(ms), own)
		g.ExpectWithOffset(1, current).To(gomega.Equal(currentSince >= 0))
		if current {
			g.ExpectWithOffset(1, since).To(gomega.Equal(at(currentSince)))
		}
	}
	const never = -1
	expect(0, 0, never)
	for ms := 500; ms <= 5000; ms += 500 {
		c.ReadServers(at(ms), 1)
		expect(ms, 0, 500)
	}
	expect(6900, 0, 500)
	c.ReadServers(at(6950), 1)
	expect(6950, 0, 500)
	expect(9000, 0, never)
	c.ReadServers(at(9100), 1)
	expect(9100, 0, 9100)
	c.DigestReceived(at(10500), reader, storewatch.Digest{ServersNext: 2, Servers: 7})
	expect(10500, 7, 9100)
	c.DigestReceived(at(13000), reader, storewatch.Digest{ServersNext: 3, Servers: 8})
	expect(13000, 7, never)
	expect(13100, 8, 13100)
}

// Guards against a node that takes its view for complete since before the VM was suspended, while its clock stood still.
func TestViewIsNotCurrentSinceBeforeASuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	var c storewatch.Core
	c.ReadServers(start, 1)
	_, current := c.CheckCurrent(start, 0)
	g.Expect(current).To(gomega.BeTrue())
	c.Suspended()
	resumed := start.Add(100 * time.Millisecond)
	c.ReadServers(resumed, 1)
	since, current := c.CheckCurrent(resumed, 0)
	g.Expect(current).To(gomega.BeTrue())
	g.Expect(since).To(gomega.Equal(resumed))
}
