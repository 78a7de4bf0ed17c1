package ledger

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

func TestLedger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ledger")
}

// fault is a kind of failure that a simulation may inject.
type fault string

const (
	faultAppendDropped fault = "append dropped"
	faultNoAnswer      fault = "append committed without response"
	faultDuplicated    fault = "append duplicated"
	faultDelayed       fault = "append committed late"
	faultCrash         fault = "gateway crashes"
	faultFreeze        fault = "gateway freezes"
	faultPartition     fault = "gateways can't reach each other"
	faultRetention     fault = "records pass their retention"
	faultAbandon       fault = "attempt abandoned"
)

var allFaults = []fault{
	faultAppendDropped, faultNoAnswer, faultDuplicated, faultDelayed, faultCrash, faultFreeze, faultPartition,
	faultRetention, faultAbandon,
}

// faultlessSteps is the number of step kinds without a fault. They occur about as often as faults.
const faultlessSteps = 8

// step performs a random step: an operation without a fault, or one of the faults.
func (s *simulation) step(faults []fault) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")]
	choice := rapid.IntRange(0, faultlessSteps+len(faults)-1).Draw(s.t, "step")
	if choice >= faultlessSteps {
		s.inject(n, faults[choice-faultlessSteps])
		return
	}
	if n.frozen {
		s.advance(10 * time.Millisecond)
		return
	}
	switch choice {
	case 0, 1:
		s.begin(n, simulationKey(rapid.IntRange(0, simulationKeys-1).Draw(s.t, "key")))
	case 2:
		s.completeAppend(n, 1, false, true)
	case 3:
		s.readRecords(n, rapid.IntRange(0, 3).Draw(s.t, "records"))
	case 4:
		s.readRecords(n, len(s.log))
	case 5:
		s.advance(time.Duration(rapid.SampledFrom([]int{10, 50, 600, 2000}).Draw(s.t, "ms")) * time.Millisecond)
	case 6:
		s.finish(n, rapid.SampledFrom([]int{1, 1, 4, 4, 12}).Draw(s.t, "how"))
	case 7:
		s.answerQueries(n, true)
	}
}

func (s *simulation) inject(n *node, f fault) {
	switch f {
	case faultAppendDropped:
		s.completeAppend(n, 0, false, false)
	case faultNoAnswer:
		s.completeAppend(n, 1, false, false)
	case faultDuplicated:
		s.completeAppend(n, rapid.IntRange(1, 2).Draw(s.t, "effects"), true, true)
	case faultDelayed:
		s.completeAppend(n, 0, true, false)
	case faultCrash:
		s.crash(rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "crashed"))
	case faultFreeze:
		n.frozen = !n.frozen
	case faultPartition:
		s.answerQueries(n, false)
	case faultAbandon:
		s.finish(n, 0)
	case faultRetention:
		s.nodes[0].frozen = false
		s.runHealthy(simulationRetention/4, 5*time.Second)
	}
	if len(s.delayed) > 0 && rapid.Bool().Draw(s.t, "commit delayed") {
		s.commit(s.delayed[0])
		s.delayed = s.delayed[1:]
	}
}

// heal ends all faults, runs until every open Begin has been answered and checks that nothing remains pending.
func (s *simulation) heal() {
	for _, n := range s.nodes {
		n.frozen = false
		s.completeAppend(n, 0, false, false)
	}
	s.runHealthy(40*time.Second, 200*time.Millisecond)
	for _, n := range s.nodes {
		for len(n.claimed) > 0 {
			s.finish(n, 4)
		}
	}
	s.runHealthy(5*time.Second, 200*time.Millisecond)
	for _, n := range s.nodes {
		if len(n.open) > 0 || !n.core.ready || !n.core.drained() {
			s.t.Fatalf("after healing: %d open, ready %v, attempts %v, batcher %+v, read %d of %d",
				len(n.open), n.core.ready, len(n.core.attempts), n.core.batcher, n.read, len(s.log))
		}
	}
}

// beginAndRun starts a Begin, runs the simulation without faults for 2 s and returns the verdict.
func (s *simulation) beginAndRun(n *node, key Key) Verdict {
	ticket := s.begin(n, key)
	s.runHealthy(2*time.Second, 50*time.Millisecond)
	return n.verdicts[ticket]
}

// TestAtMostOnce guards against a second dispatch of a key, two answers to one Begin, a Begin without an answer, an
// outcome that is missing although no gateway crashed, and a key that stays blocked although its attempts were
// released.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		s.runHealthy(time.Second, 100*time.Millisecond)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s.step(allFaults)
		}
		s.heal()
		for i := range simulationKeys {
			key := simulationKey(i)
			n := s.nodes[i%len(s.nodes)]
			verdict := s.beginAndRun(n, key)
			if verdict.State == InProgress {
				s.runHealthy(n.core.config.unreachableTimeout, time.Second)
				verdict = s.beginAndRun(n, key)
			}
			s.checkFinalVerdict(key, verdict)
		}
		if verdict := s.beginAndRun(s.nodes[0], simulationKey(simulationKeys)); verdict.State != Claimed {
			t.Fatalf("a new key after healing: %+v", verdict)
		}
	})
}

func (s *simulation) checkFinalVerdict(key Key, verdict Verdict) {
	if verdict.State == InProgress {
		s.t.Fatalf("all attempts ended or their gateways stopped, and the key is still in progress: %+v", verdict)
	}
	if s.undetermined[key.Hash] {
		return
	}
	if s.outcomes[key.Hash] && verdict.State != Completed {
		s.t.Fatalf("a recorded outcome is not returned: %+v", verdict)
	}
	body := verdict.Outcome.Body
	if s.outcomes[key.Hash] && !verdict.Outcome.BodyDropped && string(body) != string(key.Hash[:len(body)]) {
		s.t.Fatalf("the outcome of another key: %+v", verdict)
	}
	if !s.outcomes[key.Hash] && verdict.State != Claimed && verdict.State != Unknown {
		s.t.Fatalf("a key without an outcome after healing: %+v", verdict)
	}
}

// TestShareOfKnownOutcomes logs how many dispatched keys end with a known outcome under each kind of fault.
func TestShareOfKnownOutcomes(t *testing.T) {
	for _, f := range allFaults {
		keys, known := 0, 0
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(t, 3)
			s.runHealthy(time.Second, 100*time.Millisecond)
			for range 60 {
				s.step([]fault{f})
			}
			s.heal()
			for i := range simulationKeys {
				if !s.mayHaveRun[simulationKey(i).Hash] {
					continue
				}
				keys++
				if s.beginAndRun(s.nodes[0], simulationKey(i)).State == Completed {
					known++
				}
			}
		})
		t.Logf("%s: %d of %d dispatched keys end with a known outcome", f, known, keys)
	}
}

// applyBatch applies one batch to a core as the record at the next offset.
func (s *simulation) applyBatch(c *core, sequence uint64, writer string, entries ...entry) {
	data := encodeBatch(batch{incarnation: writer, sequence: sequence, entries: entries})
	record := platform.Record{Offset: c.applied + 1, Time: s.now, Data: data}
	c.applyRead(s.now, platform.Batch{Earliest: 1, Next: record.Offset + 1, Records: []platform.Record{record}})
}

var _ = ginkgo.Describe("Core", func() {
	key := simulationKey(0).Hash
	claim := func(ticket uint64) entry { return entry{kind: claimEntry, hash: key, ticket: ticket} }
	release := func(ticket uint64) entry { return entry{kind: releaseEntry, hash: key, ticket: ticket} }

	// Guards against a double claim that simulations with seeds 1 to 6 found: a reader that starts between a claim and
	// a later claim of the same key treats the later one as the holder and carries it forward.
	ginkgo.It("treats a holder as tentative until the earlier records have been read", func() {
		s := newSimulation(nil, 2)
		fullReader, lateReader := s.nodes[0].core, s.nodes[1].core
		s.runHealthy(time.Second, 100*time.Millisecond)
		lateReader.trimmed(lateReader.applied + 2)
		s.applyBatch(fullReader, 1, "a", claim(1))
		for _, c := range []*core{fullReader, lateReader} {
			s.applyBatch(c, 1, "b", claim(1))
			s.applyBatch(c, 2, "a", release(1), claim(2))
		}
		carried, found := lateReader.carryEntry(key)
		gomega.Expect(found).To(gomega.BeTrue())
		s.applyBatch(fullReader, 1, "c", carried)
		s.applyBatch(lateReader, 2, "b", release(1))
		holder, _ := fullReader.table.get(key)
		incarnation := fullReader.table.claimants[holder.claimant].incarnation
		gomega.Expect([]any{holder.ticket, incarnation}).To(gomega.Equal([]any{uint64(2), "a"}))
		_, found = lateReader.table.get(key)
		gomega.Expect(found).To(gomega.BeTrue(), "the late reader treats the key as free")
	})

	// Guards against a delayed claim that is committed after the release of its attempt and holds the key again.
	ginkgo.It("ignores a batch with a lower sequence than the last one of its writer", func() {
		s := newSimulation(nil, 1)
		c := s.nodes[0].core
		s.applyBatch(c, 2, "a", release(1))
		s.applyBatch(c, 1, "a", claim(1))
		_, found := c.table.get(key)
		gomega.Expect(found).To(gomega.BeFalse())
	})

	// Guards against callers that are asked to retry an expired request, and against an unbounded table.
	ginkgo.It("rejects expired keys and, when its table is full, new ones", func() {
		s := newSimulation(nil, 1)
		n := s.nodes[0]
		s.runHealthy(time.Second, 100*time.Millisecond)
		old := Key{Hash: HashKey("old", ""), Time: s.now.Add(-n.core.config.keyLifetime - time.Minute)}
		gomega.Expect(n.verdicts[s.begin(n, old)].State).To(gomega.Equal(Expired))
		n.core.config.maximumKeys = 0
		gomega.Expect(n.verdicts[s.begin(n, simulationKey(1))].State).To(gomega.Equal(Unavailable))
	})
})
