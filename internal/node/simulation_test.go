package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
)

// simulatedNode is a node without listeners and leases. Its reads, digests and fetches are those of a real one.
type simulatedNode struct {
	*Node
	number int
	stop   func()
	ended  sync.WaitGroup
}

// simulation is a site of nodes and what the judge has to know about them.
type simulation struct {
	t     rapid.TB
	store *simulatedStore
	mu    sync.Mutex
	nodes [simulatedNodes]*simulatedNode
	// readers holds the numbers of the nodes that read for all.
	readers map[int]bool
	// settledAt is when each node, or the store, was last disrupted; the bound doesn't hold until settledAfter later.
	settledAt map[int]time.Time
	// inForce is the newest version that each running node has shown.
	inForce [simulatedNodes]int64
	links   []*peerlink.Link
	// late and lateLeave are the longest times after an acknowledgement after which a settled node lacked a configuration or
	// used a server that leaves.
	late, lateLeave time.Duration
	// used holds the servers that a running node has used, departed those of them that have begun to leave and that it no longer uses.
	used, departed [simulatedNodes]map[int]bool
}

func newSimulation(t rapid.TB) *simulation {
	s := &simulation{t: t, store: newSimulatedStore(), readers: map[int]bool{}, settledAt: map[int]time.Time{}}
	for number := range simulatedNodes {
		link, err := peerlink.Listen(fmt.Sprintf("127.0.1.%d:0", number+1), "a", event.Discard())
		if err != nil {
			t.Fatal(err)
		}
		s.links = append(s.links, link)
	}
	return s
}

func (s *simulation) start(number int) {
	settings := DefaultSettings()
	settings.Store.Partitions = 8
	ctx, cancel := context.WithCancel(context.Background())
	eras := storeera.NewTracker()
	node := &simulatedNode{number: number, stop: cancel, Node: newNode(settings, Dependencies{
		Store: simulatedClient{store: s.store, node: number, eras: eras}, StoreEras: eras, Connections: NewConnections(),
		Events: event.Discard(),
	}, s.links[number])}
	node.ctx = ctx
	s.disturbed(number, 0)
	s.mu.Lock()
	s.nodes[number] = node
	s.inForce[number], s.used[number], s.departed[number] = 0, map[int]bool{}, map[int]bool{}
	node.watch.setReader(s.readers[number])
	s.mu.Unlock()
	node.ended.Go(func() { _ = node.syncOperator(ctx) })
	node.ended.Go(func() { _ = node.syncServers(ctx) })
	node.ended.Go(func() { _ = node.keepUpWithPeers(ctx, s.fetch) })
	node.ended.Go(func() { s.sendDigests(ctx, node) })
}

// kill ends a node. It returns false if the node isn't running.
func (s *simulation) kill(number int) (killed bool) {
	s.mu.Lock()
	node := s.nodes[number]
	s.nodes[number] = nil
	s.mu.Unlock()
	if node == nil {
		return false
	}
	node.stop()
	node.ended.Wait()
	return true
}

// sendDigests delivers the node's digests to all others while it's a reader. One message in twenty is lost.
func (s *simulation) sendDigests(ctx context.Context, node *simulatedNode) {
	for ctx.Err() == nil {
		select {
		case <-time.After(digestPeriod):
		case <-node.watch.digestChanged:
		case <-ctx.Done():
			return
		}
		node.watch.running(time.Now())
		message, fresh := node.digestMessage(time.Now())
		message.From = node.link.Address()
		s.mu.Lock()
		others, reads := s.nodes, s.readers[node.number]
		s.mu.Unlock()
		if !fresh || !reads {
			continue
		}
		for _, other := range others {
			if other != nil && other != node && rand.IntN(20) > 0 {
				node.ended.Go(func() {
					pass(peerLatency)
					other.applyDigest(time.Now(), message)
				})
			}
		}
	}
}

func (s *simulation) fetch(reader string) (peerSnapshot, error) {
	pass(2 * peerLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range s.nodes {
		if node == nil || node.link.Address() != reader {
			continue
		}
		if snapshot, fresh := node.peerSnapshot(time.Now()); fresh {
			return snapshot, nil
		}
	}
	return peerSnapshot{}, errRefused
}

// setReaders makes the given nodes the ones that read for all.
func (s *simulation) setReaders(readers ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = map[int]bool{}
	for _, number := range readers {
		s.readers[number] = true
	}
	for number, node := range s.nodes {
		if node != nil {
			node.watch.setReader(s.readers[number])
		}
	}
}

// disturbed records that a node, or all, are disturbed for a time.
func (s *simulation) disturbed(number int, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := time.Now().Add(duration); end.After(s.settledAt[number]) {
		s.settledAt[number] = end
	}
}

// judge checks until ctx ends that every settled node has in force what was acknowledged long enough ago, and that no
// process goes back to an older version.
func (s *simulation) judge(ctx context.Context) {
	for ctx.Err() == nil {
		pass(20 * time.Millisecond)
		now := time.Now()
		s.mu.Lock()
		for number, node := range s.nodes {
			if node == nil {
				continue
			}
			version := int64(0)
			if config := node.forwarder.Config(); config != nil {
				version = config.Version
			}
			if version < s.inForce[number] {
				s.t.Errorf("node %d went back from version %d to %d", number, s.inForce[number], version)
			}
			s.inForce[number] = version
			s.judgeDepartures(now, node)
			if now.Sub(s.settledAt[number]) < settledAfter || now.Sub(s.settledAt[allNodes]) < settledAfter {
				continue
			}
			s.judgeNode(now, node, version)
		}
		s.mu.Unlock()
	}
}

// judgeDepartures checks that a process that doesn't use a server any more which leaves never uses it again.
func (s *simulation) judgeDepartures(now time.Time, node *simulatedNode) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	used, departed := s.used[node.number], s.departed[node.number]
	for server := range simulatedServers {
		_, leaves := s.store.left[server]
		inUse := node.view.InUse(now, serverID(server))
		if departed[server] && inUse {
			s.t.Errorf("node %d uses server %d again", node.number, server)
		}
		used[server] = used[server] || inUse
		departed[server] = departed[server] || leaves && used[server] && !inUse
	}
}

// judgeNode compares what a settled node knows with what the store has acknowledged. version is that of its configuration.
func (s *simulation) judgeNode(now time.Time, node *simulatedNode, version int64) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, ack := range s.store.acked {
		if since := now.Sub(ack.at); ack.version > version && since > changeDue {
			s.late = max(s.late, since)
		}
	}
	for server, leave := range s.store.left {
		if since := now.Sub(leave.at); since > changeDue && node.view.InUse(now, serverID(server)) {
			s.lateLeave = max(s.lateLeave, since)
		}
	}
}

// run starts all nodes and lets script disrupt them.
func (s *simulation) run(script func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.store.put(1)
	for number := range simulatedNodes {
		s.start(number)
	}
	var judging sync.WaitGroup
	judging.Go(func() { s.judge(ctx) })
	pass(settledAfter)
	script()
	pass(2 * settledAfter)
	cancel()
	judging.Wait()
	for number := range simulatedNodes {
		s.kill(number)
	}
	for _, link := range s.links {
		if err := link.Run(ctx, nil); err != nil {
			s.t.Error(err)
		}
	}
}

// check reports what settled nodes didn't know in time.
func (s *simulation) check() {
	if s.late > 0 {
		s.t.Errorf("a node lacked a configuration %s after its acknowledgement", s.late)
	}
	if s.lateLeave > 0 {
		s.t.Errorf("a node used a server %s after the acknowledgement that it leaves", s.lateLeave)
	}
}

// storeSilent makes the store answer nobody for a time.
func (s *simulation) storeSilent(duration time.Duration) {
	s.disturbed(allNodes, duration)
	s.store.disrupt(s.store.silent, allNodes, duration)
}

// storeReturns makes the store return from a copy that was made a time before.
func (s *simulation) storeReturns(age, away time.Duration) {
	s.disturbed(allNodes, away+rewriteDelay)
	s.store.returnFrom(age, away)
}

// refuseSome makes the store refuse some nodes for a time, with errors or by silence.
func (s *simulation) refuseSome(nodes []int, counts map[int]int, duration time.Duration) {
	s.disturbed(allNodes, duration)
	var refused sync.WaitGroup
	for _, number := range nodes {
		refused.Go(func() { s.store.disrupt(counts, number, duration) })
	}
	refused.Wait()
}

// cutOff separates one node from the store, silently, for a time.
func (s *simulation) cutOff(number int, duration time.Duration) {
	s.disturbed(number, duration)
	s.store.disrupt(s.store.silent, number, duration)
}

// failCalls makes calls of a node fail for a time that have nothing to do with its reads, such as joins of the group.
func (s *simulation) failCalls(number int, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); pass(retryPause) {
		s.mu.Lock()
		node := s.nodes[number]
		s.mu.Unlock()
		node.recordStoreCall(node.ctx, time.Now(), errRefused)
	}
}

// restart kills a node and starts it again after a time, unless that is going on already.
func (s *simulation) restart(number int, duration time.Duration) {
	if !s.kill(number) {
		return
	}
	pass(duration)
	s.start(number)
}
