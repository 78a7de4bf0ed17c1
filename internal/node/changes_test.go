package node

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a configuration that is late because the long polls of readers are lost while their digests go on.
func TestConfigurationIsInForceInTimeAfterASilentStore(t *testing.T) {
	for _, readers := range [][]int{{0}, {0, 1, 2}} {
		for offset := range 8 {
			name := fmt.Sprintf("%d readers, outage of %d ms", len(readers), 2000+offset*450)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t)
					s.setReaders(readers...)
					s.run(func() {
						time.AfterFunc(1500*time.Millisecond, func() { s.store.put(2) })
						s.storeSilent(2*time.Second + time.Duration(offset)*450*time.Millisecond)
					})
					s.check()
				})
			})
		}
	}
}

// Guards against followers that are late because their only reader is cut off from the store and goes on sending digests.
func TestChangesAreKnownInTimeWhenTheReaderIsCutOff(t *testing.T) {
	for offset := range 8 {
		after := time.Duration(offset) * 100 * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t)
				s.setReaders(0)
				s.run(func() {
					pass(after)
					time.AfterFunc(10*time.Millisecond, func() {
						s.store.put(2)
						s.store.leave(3)
					})
					s.cutOff(0, 2*settledAfter)
				})
				s.check()
			})
		})
	}
}

// Guards against nodes that miss changes because the store has returned from a copy and gives out offsets again.
func TestChangesAreKnownInTimeAfterTheStoreReturns(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		for _, away := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("copy of %s ago, away for %s", age, away), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t)
					s.setReaders(0, 1, 2)
					s.run(func() {
						for version := range int64(3) {
							s.store.put(2 + version)
							s.store.leave(int(version))
							pass(age / 4)
						}
						s.storeReturns(age, away)
						pass(settledAfter)
						s.store.put(5)
						s.store.leave(3)
						pass(changeDue)
					})
					s.check()
				})
			})
		}
	}
}

// Guards against requests to a server whose entry was removed, because a call of the node to the store has failed while the store
// served others, so that the removal is taken for an entry that lapsed in an outage.
func TestRemovalIsNotTakenForALapse(t *testing.T) {
	scripts := map[string]func(s *simulation){
		"calls of some nodes fail": func(s *simulation) {
			go s.failCalls(3, 2*settledAfter)
			go s.failCalls(4, 2*settledAfter)
			pass(300 * time.Millisecond)
		},
		"calls of a reader fail after the removal": func(s *simulation) {
			time.AfterFunc(700*time.Millisecond, func() { s.store.disrupt(s.store.refusing, 0, time.Second) })
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t)
				s.setReaders(0, 1, 2)
				s.run(func() {
					script(s)
					s.store.remove(3)
				})
				s.check()
			})
		})
	}
}

// Guards against nodes that drop a server that lives because its entry has lapsed in an outage of the store, and against readers that
// tell them to.
func TestServersWhoseEntriesLapseInAnOutageStayInUse(t *testing.T) {
	const lapsed = 5
	for name, outage := range map[string]func(s *simulation, duration time.Duration){
		"silent": (*simulation).storeSilent,
		"refusing": func(s *simulation, duration time.Duration) {
			s.refuseSome([]int{allNodes}, s.store.refusing, duration)
		},
		"refusing the servers alone": func(s *simulation, duration time.Duration) { s.store.refuseServers(duration) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t)
				s.setReaders(0, 1, 2)
				dropped := map[int]bool{}
				s.run(func() {
					time.AfterFunc(3900*time.Millisecond, func() { s.store.lapse(lapsed, 2*time.Second) })
					outage(s, 4*time.Second)
					for end := time.Now().Add(3 * time.Second); time.Now().Before(end); pass(20 * time.Millisecond) {
						for number, node := range s.nodes {
							dropped[number] = dropped[number] || !node.view.InUse(time.Now(), serverID(lapsed))
						}
					}
				})
				for number, wasDropped := range dropped {
					if wasDropped {
						t.Errorf("node %d dropped the server", number)
					}
				}
			})
		})
	}
}

// step is one disruption, or a change of the configuration, and the pause until the next one.
type step struct {
	kind     string
	number   int
	some     []int
	duration time.Duration
	pause    time.Duration
}

func drawStep(t *rapid.T) step {
	milliseconds := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	node := rapid.IntRange(0, simulatedNodes-1)
	return step{
		kind: rapid.SampledFrom([]string{
			"change", "leave", "remove", "silent", "refuse", "hang", "lose", "cut", "restart", "readers", "return",
		}).Draw(t, "kind"),
		number:   node.Draw(t, "node"),
		some:     rapid.SliceOfNDistinct(node, 1, 3, rapid.ID).Draw(t, "nodes"),
		duration: milliseconds("duration in ms", 4000),
		pause:    milliseconds("pause in ms", 2500),
	}
}

// begin begins a step, which goes on in the background.
func (s *simulation) begin(step step, version int64, running *sync.WaitGroup) {
	switch step.kind {
	case "change":
		s.store.put(version)
	case "leave":
		s.store.leave(int(version) % simulatedServers)
	case "remove":
		s.store.remove(int(version) % simulatedServers)
	case "silent":
		running.Go(func() { s.storeSilent(step.duration) })
	case "refuse":
		running.Go(func() { s.refuseSome(step.some, s.store.refusing, step.duration) })
	case "hang":
		running.Go(func() { s.refuseSome(step.some, s.store.silent, step.duration) })
	case "lose":
		s.disturbed(allNodes, 0)
		s.store.loseOpenConnections()
	case "cut":
		running.Go(func() { s.cutOff(step.number, step.duration) })
	case "restart":
		running.Go(func() { s.restart(step.number, step.duration) })
	case "return":
		running.Go(func() { s.storeReturns(step.duration, step.pause/4) })
	case "readers":
		s.setReaders(step.some...)
	}
}

// Guards against configurations that are late or go back, and against servers that are used too long after they began to
// leave, under several disruptions at once.
func TestChangesAreKnownInTimeUnderDisruptions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			s := newSimulation(rt)
			s.setReaders(0, 1, 2)
			s.run(func() {
				var running sync.WaitGroup
				for i, step := range steps {
					s.begin(step, int64(i+2), &running)
					pass(step.pause)
				}
				running.Wait()
			})
			s.check()
		})
	})
}
