package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// configurationDue is the platform's bound on the time from the acknowledgement of a configuration until it's in force,
	// settledAfter the time after a disruption from which it holds.
	configurationDue = 2 * time.Second
	settledAfter     = 3 * time.Second
	// storeCallTimeout is the time that the platform's client adds to the wait of a call.
	storeCallTimeout = 1200 * time.Millisecond
	storeLatency     = 4 * time.Millisecond
	peerLatency      = time.Millisecond
	simulatedNodes   = 6
)

// pass lets simulated time pass.
func pass(duration time.Duration) { <-time.After(duration) }

var errRefused = errors.New("refused")

// simulatedStore holds the operators' records. It implements the reads of serving.Store, by node.
type simulatedStore struct {
	mu        sync.Mutex
	records   []serving.OperatorBatch
	changed   chan struct{}
	startedAt time.Time
	// pending holds the configurations that are acknowledged at the end of an outage.
	pending []*serving.Configuration
	// acked holds when each configuration was acknowledged, in order.
	acked []acknowledged
	// silent and refusing count the running disruptions by node; -1 stands for all.
	silent, refusing map[int]int
	// lost counts the disruptions by which the open connections of a node became silent.
	lost map[int]int
}

type acknowledged struct {
	version int64
	at      time.Time
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{
		changed: make(chan struct{}), startedAt: time.Now(), silent: map[int]int{}, refusing: map[int]int{}, lost: map[int]int{},
	}
}

const allNodes = -1

// put appends a configuration, at the end of the outage if all nodes get no answers.
func (s *simulatedStore) put(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := &serving.Configuration{Version: version}
	if s.silent[allNodes] > 0 {
		s.pending = append(s.pending, config)
		return
	}
	s.append(config)
}

func (s *simulatedStore) append(config *serving.Configuration) {
	s.records = append(s.records, serving.OperatorBatch{Configurations: []*serving.Configuration{config}})
	s.acked = append(s.acked, acknowledged{config.Version, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// disrupt applies a disruption of a node, or of all, for a time. A silent store also loses the calls in progress.
func (s *simulatedStore) disrupt(counts map[int]int, node int, duration time.Duration) {
	s.mu.Lock()
	counts[node]++
	s.mu.Unlock()
	pass(duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[node]--
	if s.silent[allNodes] == 0 {
		for _, config := range s.pending {
			s.append(config)
		}
		s.pending = nil
	}
}

// loseOpenConnections makes the calls in progress of all nodes get no answer, while new ones do.
func (s *simulatedStore) loseOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[allNodes]++
}

// state returns whether calls of a node are silent or refused, and the number of losses so far.
func (s *simulatedStore) state(node int) (silent, refused bool, losses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[node]+s.silent[allNodes] > 0, s.refusing[node]+s.refusing[allNodes] > 0, s.lost[allNodes]
}

// call waits for an answer to a call of a node, which ready delivers. It returns an error if the call is refused, or once
// it has timed out.
func (s *simulatedStore) call(ctx context.Context, node int, wait time.Duration, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	hang := func() error {
		<-ctx.Done()
		return ctx.Err()
	}
	pass(storeLatency)
	silent, refused, losses := s.state(node)
	waited := time.After(wait)
	for over := false; ; {
		nowSilent, _, lost := s.state(node)
		switch {
		case silent || nowSilent || lost != losses:
			return hang()
		case refused:
			return errRefused
		case over || ready():
			return nil
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if ready() {
			continue
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		case <-waited:
			over = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// simulatedClient is the store as one node sees it. Calls that the simulation doesn't need are left to the nil interface.
type simulatedClient struct {
	serving.Store
	store *simulatedStore
	node  int
}

func (c simulatedClient) ReadOperator(
	ctx context.Context, after serving.Cursor, wait time.Duration,
) (batch serving.OperatorBatch, err error) {
	err = c.store.call(ctx, c.node, wait, func() bool {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		return int64(len(c.store.records)) > after.Offset
	})
	if err != nil {
		return batch, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, record := range c.store.records[after.Offset:] {
		batch.Configurations = append(batch.Configurations, record.Configurations...)
	}
	batch.Next = serving.Cursor{Known: true, Offset: int64(len(c.store.records))}
	return batch, nil
}

func (c simulatedClient) ReadServers(ctx context.Context, _ serving.Cursor) (serving.ServerBatch, error) {
	if err := c.store.call(ctx, c.node, 0, func() bool { return true }); err != nil {
		return serving.ServerBatch{}, err
	}
	// Servers write their entries all the time, without a change that matters here.
	written := time.Since(c.store.startedAt).Milliseconds()
	return serving.ServerBatch{Next: serving.Cursor{Known: true, Offset: 1 + written}}, nil
}

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
	late    time.Duration
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
	node := &simulatedNode{number: number, stop: cancel, Node: newNode(settings, Dependencies{
		Store: simulatedClient{store: s.store, node: number}, Connections: NewConnections(), Events: event.Discard(),
	}, s.links[number])}
	node.ctx = ctx
	s.disturbed(number, 0)
	s.mu.Lock()
	s.nodes[number] = node
	s.inForce[number] = 0
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
			if now.Sub(s.settledAt[number]) < settledAfter || now.Sub(s.settledAt[allNodes]) < settledAfter {
				continue
			}
			s.store.mu.Lock()
			for _, ack := range s.store.acked {
				if since := now.Sub(ack.at); ack.version > version && since > configurationDue && since > s.late {
					s.late = since
				}
			}
			s.store.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// run starts all nodes, lets script disrupt them, and returns how long after its acknowledgement a configuration was
// found to be missing at a settled node; zero if none was.
func (s *simulation) run(script func()) (late time.Duration) {
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
	return s.late
}

// storeSilent makes the store answer nobody for a time.
func (s *simulation) storeSilent(duration time.Duration) {
	s.disturbed(allNodes, duration)
	s.store.disrupt(s.store.silent, allNodes, duration)
}

// Guards against a configuration that is late because the long polls of readers are lost while their digests go on.
func TestConfigurationIsInForceInTimeAfterASilentStore(t *testing.T) {
	for _, readers := range [][]int{{0}, {0, 1, 2}} {
		for offset := range 8 {
			name := fmt.Sprintf("%d readers, outage of %d ms", len(readers), 2000+offset*450)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(t)
					s.setReaders(readers...)
					late := s.run(func() {
						time.AfterFunc(1500*time.Millisecond, func() { s.store.put(2) })
						s.storeSilent(2*time.Second + time.Duration(offset)*450*time.Millisecond)
					})
					if late > 0 {
						t.Errorf("a node lacked a configuration %s after its acknowledgement", late)
					}
				})
			})
		}
	}
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

// restart kills a node and starts it again after a time, unless that is going on already.
func (s *simulation) restart(number int, duration time.Duration) {
	if !s.kill(number) {
		return
	}
	pass(duration)
	s.start(number)
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
			"change", "change", "silent", "refuse", "hang", "lose", "cut", "restart", "readers",
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
	case "readers":
		s.setReaders(step.some...)
	}
}

// Guards against configurations that are late, or go back, under several disruptions at once.
func TestConfigurationsAreInForceInTimeUnderDisruptions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			s := newSimulation(rt)
			s.setReaders(0, 1, 2)
			late := s.run(func() {
				var running sync.WaitGroup
				for i, step := range steps {
					s.begin(step, int64(i+2), &running)
					pass(step.pause)
				}
				running.Wait()
			})
			if late > 0 {
				rt.Errorf("a node lacked a configuration %s after its acknowledgement", late)
			}
		})
	})
}
