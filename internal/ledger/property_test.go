package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEndlessKeysAreBounded guards property P5 and the memory of a gateway against an endless series of new keys: the
// table never exceeds its limit, a full table rejects new keys as not run instead of evicting old ones, and no key is
// claimed twice.
func TestEndlessKeysAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 20
		s := newSimulation(t, 2)
		for _, n := range s.nodes {
			n.core.config.maximumKeys = bound
		}
		s.runHealthy(time.Second, 100*time.Millisecond)
		claimed, rejected := map[KeyHash]bool{}, 0
		for i := range 60 {
			n := s.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
			number := i
			if rapid.IntRange(0, 4).Draw(t, "known") == 0 {
				number = rapid.IntRange(0, i).Draw(t, "number")
			}
			key := Key{Hash: HashKey(fmt.Sprint("endless-", number), "POST /")}
			switch verdict := s.beginAndRun(n, key); verdict.State {
			case Claimed:
				if claimed[key.Hash] {
					t.Fatalf("key %d is claimed twice", number)
				}
				claimed[key.Hash] = true
				s.finish(n, rapid.SampledFrom([]int{0, 4, 12}).Draw(t, "how"))
			case Unavailable:
				rejected++
				if verdict.RetryAfter <= 0 || claimed[key.Hash] {
					t.Fatalf("key %d, claimed before: %v, is rejected with %+v", number, claimed[key.Hash], verdict)
				}
			}
			for _, node := range s.nodes {
				// Two gateways may each accept a key for the last free entry at the same time.
				if held := node.core.table.count; held > bound+len(s.nodes) {
					t.Fatalf("a table holds %d keys", held)
				}
			}
		}
		if rejected == 0 {
			t.Fatal("no key was rejected, so the limit was never reached")
		}
	})
}

// TestLateClaimOfPausedGateway guards property P5 against two combined failures that TestAtMostOnce covers only by
// chance: a claim whose append is committed late while its gateway is frozen, and a retry at another gateway that can't
// reach the first one.
func TestLateClaimOfPausedGateway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		s.runHealthy(time.Second, 100*time.Millisecond)
		key := simulationKey(0)
		first, second := s.nodes[0], s.nodes[1]
		s.begin(first, key)
		s.completeAppend(first, 0, true, rapid.Bool().Draw(t, "answered"))
		first.frozen = rapid.Bool().Draw(t, "frozen")
		if rapid.Bool().Draw(t, "second before the late record") {
			s.begin(second, key)
		}
		s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		for _, data := range s.delayed {
			s.commit(data)
		}
		s.delayed = nil
		s.begin(second, key)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s.step([]fault{faultNoAnswer, faultDuplicated, faultDelayed, faultFreeze, faultPartition, faultAbandon})
		}
		s.heal()
		if verdict := s.beginAndRun(s.nodes[2], key); verdict.State == InProgress {
			t.Fatalf("the key is in progress after healing: %+v", verdict)
		}
	})
}

// TestFreshKeysAreRefusedAtOnce guards properties P5 and P10 against a Begin that waits for its timeout, or claims the
// key, although the log has been detected as unreachable: a new key must be rejected in the same call, and known keys
// must still get their outcome.
func TestFreshKeysAreRefusedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1)
		n := s.nodes[0]
		s.runHealthy(time.Second, 100*time.Millisecond)
		s.beginAndRun(n, simulationKey(0))
		s.finish(n, 4)
		s.runHealthy(time.Second, 100*time.Millisecond)
		// One key detects the outage: either no read completes, or its append is not committed.
		unreadable := rapid.Bool().Draw(t, "can't be read")
		s.begin(n, simulationKey(1))
		outage := time.Duration(rapid.IntRange(6, 60).Draw(t, "seconds")) * time.Second
		for end := s.now.Add(outage); s.now.Before(end); {
			s.advance(100 * time.Millisecond)
			if unreadable {
				s.completeAppend(n, 1, false, true)
			} else {
				s.completeAppend(n, 0, false, false)
				s.readRecords(n, len(s.log))
			}
		}
		ticket := s.begin(n, simulationKey(2))
		if verdict, answered := n.verdicts[ticket]; !answered || verdict.State != Unavailable || verdict.RetryAfter <= 0 {
			t.Fatalf("a new key is answered immediately: %v, with %+v", answered, verdict)
		}
		ticket = s.begin(n, simulationKey(0))
		if verdict, answered := n.verdicts[ticket]; !answered || verdict.State != Completed {
			t.Fatalf("a known key is answered immediately: %v, with %+v", answered, verdict)
		}
		s.heal()
		if verdict := s.beginAndRun(n, simulationKey(2)); verdict.State != Claimed {
			t.Fatalf("after the outage: %+v", verdict)
		}
	})
}

// TestDoubledReleaseFreesNobodyElse guards property P5 against a duplicate of a release record that is committed after
// another gateway has claimed and dispatched the key: the key must stay held.
func TestDoubledReleaseFreesNobodyElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		s.runHealthy(time.Second, 100*time.Millisecond)
		first, second, third := s.nodes[0], s.nodes[1], s.nodes[2]
		key := simulationKey(0)
		s.beginAndRun(first, key)
		s.finish(first, 1)
		for range 20 {
			s.advance(10 * time.Millisecond)
			s.completeAppend(first, 1, true, true)
			s.readRecords(first, len(s.log))
		}
		s.runHealthy(time.Second, 50*time.Millisecond)
		if verdict := s.beginAndRun(second, key); verdict.State != Claimed {
			t.Fatalf("verdict after the release: %+v", verdict)
		}
		if len(s.delayed) == 0 {
			t.Fatal("no duplicate of the release is delayed")
		}
		for _, data := range s.delayed {
			s.commit(data)
		}
		s.runHealthy(time.Second, 50*time.Millisecond)
		retrier := rapid.SampledFrom([]*node{first, third}).Draw(t, "retrying node")
		if verdict := s.beginAndRun(retrier, key); verdict.State != InProgress {
			t.Fatalf("verdict for the key of a dispatched request: %+v", verdict)
		}
	})
}
