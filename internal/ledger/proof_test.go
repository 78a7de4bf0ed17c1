package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEndlessKeysAreBounded guards P5 and the memory of a gateway against endless fresh keys: the table never holds more
// keys than its bound, a full table answers as not run instead of forgetting a key, and no key is claimed twice.
func TestEndlessKeysAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 20
		w := newWorld(t, 2)
		for _, n := range w.nodes {
			n.core.config.maximumKeys = bound
		}
		w.calm(time.Second, 100*time.Millisecond)
		claimed, refused := map[KeyHash]bool{}, 0
		for i := range 60 {
			n := w.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
			number := i
			if rapid.IntRange(0, 4).Draw(t, "known") == 0 {
				number = rapid.IntRange(0, i).Draw(t, "number")
			}
			key := Key{Hash: HashKey(fmt.Sprint("endless-", number), "POST /")}
			switch verdict := w.ask(n, key); verdict.State {
			case Claimed:
				if claimed[key.Hash] {
					t.Fatalf("key %d is claimed twice", number)
				}
				claimed[key.Hash] = true
				w.finish(n, rapid.SampledFrom([]int{0, 4, 12}).Draw(t, "how"))
			case Unavailable:
				refused++
				if verdict.RetryAfter <= 0 || claimed[key.Hash] {
					t.Fatalf("key %d, claimed before: %v, is refused with %+v", number, claimed[key.Hash], verdict)
				}
			}
			for _, node := range w.nodes {
				// Two gateways may each accept the last free place at the same time.
				if held := node.core.table.count; held > bound+len(w.nodes) {
					t.Fatalf("a table holds %d keys", held)
				}
			}
		}
		if refused == 0 {
			t.Fatal("no key was refused, so the bound was never reached")
		}
	})
}

// TestLateClaimOfPausedGateway guards P5 against a pair of failures that TestAtMostOnce meets only by chance: a claim whose append takes effect late while its gateway is frozen, and a retry at another gateway
// that can't ask the first one.
func TestLateClaimOfPausedGateway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.calm(time.Second, 100*time.Millisecond)
		key := worldKey(0)
		first, second := w.nodes[0], w.nodes[1]
		w.begin(first, key)
		w.deliver(first, 0, true, rapid.Bool().Draw(t, "answered"))
		first.frozen = rapid.Bool().Draw(t, "frozen")
		if rapid.Bool().Draw(t, "second before the late record") {
			w.begin(second, key)
		}
		w.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		for _, data := range w.late {
			w.land(data)
		}
		w.late = nil
		w.begin(second, key)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.step([]fault{faultUnheard, faultDoubled, faultLate, faultFreeze, faultCut, faultDoubt})
		}
		w.heal()
		if verdict := w.ask(w.nodes[2], key); verdict.State == InProgress {
			t.Fatalf("the key counts as in progress after healing: %+v", verdict)
		}
	})
}

// TestFreshKeysAreRefusedAtOnce guards P5 and P10 against a Begin that waits for its time limit, or claims, although the log
// is known to be out of reach: the answer must come in the same call, and known keys still get their outcome.
func TestFreshKeysAreRefusedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		n := w.nodes[0]
		w.calm(time.Second, 100*time.Millisecond)
		w.ask(n, worldKey(0))
		w.finish(n, 4)
		w.calm(time.Second, 100*time.Millisecond)
		// In each kind of outage one key finds out: by a read that doesn't come, or by an append that isn't taken.
		unreadable := rapid.Bool().Draw(t, "can't be read")
		w.begin(n, worldKey(1))
		outage := time.Duration(rapid.IntRange(6, 60).Draw(t, "seconds")) * time.Second
		for end := w.now.Add(outage); w.now.Before(end); {
			w.advance(100 * time.Millisecond)
			if unreadable {
				w.deliver(n, 1, false, true)
			} else {
				w.deliver(n, 0, false, false)
				w.readUp(n, len(w.log))
			}
		}
		ticket := w.begin(n, worldKey(2))
		if verdict, answered := n.last[ticket]; !answered || verdict.State != Unavailable || verdict.RetryAfter <= 0 {
			t.Fatalf("answered at once: %v, with %+v", answered, verdict)
		}
		ticket = w.begin(n, worldKey(0))
		if verdict, answered := n.last[ticket]; !answered || verdict.State != Completed {
			t.Fatalf("a known key is answered at once: %v, with %+v", answered, verdict)
		}
		w.heal()
		if verdict := w.ask(n, worldKey(2)); verdict.State != Claimed {
			t.Fatalf("after the outage: %+v", verdict)
		}
	})
}

// TestDoubledReleaseFreesNobodyElse guards P5 against a second copy of a release record that lands after another gateway
// has claimed and dispatched the key: the key must stay held.
func TestDoubledReleaseFreesNobodyElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.calm(time.Second, 100*time.Millisecond)
		first, second, third := w.nodes[0], w.nodes[1], w.nodes[2]
		key := worldKey(0)
		w.ask(first, key)
		w.finish(first, 1)
		for range 20 {
			w.advance(10 * time.Millisecond)
			w.deliver(first, 1, true, true)
			w.readUp(first, len(w.log))
		}
		w.calm(time.Second, 50*time.Millisecond)
		if verdict := w.ask(second, key); verdict.State != Claimed {
			t.Fatalf("after the release the key is %+v", verdict)
		}
		if len(w.late) == 0 {
			t.Fatal("no copy of the release is under way")
		}
		for _, data := range w.late {
			w.land(data)
		}
		w.calm(time.Second, 50*time.Millisecond)
		asker := rapid.SampledFrom([]*node{first, third}).Draw(t, "asker")
		if verdict := w.ask(asker, key); verdict.State != InProgress {
			t.Fatalf("the key of a dispatched request is %+v", verdict)
		}
	})
}
