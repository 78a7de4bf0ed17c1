package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/keyproof"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

const keyTestTimeout = 5 * time.Second

// newKeysNode returns a node without background tasks, whose other node is the returned link.
func newKeysNode(t *testing.T, change func(*Settings)) (*Node, *keysPeer) {
	settings := DefaultSettings()
	settings.Store.Partitions = 8
	if change != nil {
		change(&settings)
	}
	n := newNode(settings, Dependencies{Connections: NewConnections(), Events: event.Discard()}, listenForKeys(t))
	n.ctx = t.Context()
	peer := &keysPeer{link: listenForKeys(t), received: make(chan peerlink.Message, 100)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		_ = peer.link.Run(ctx, func(_ time.Time, message peerlink.Message) { peer.received <- message })
	}()
	n.leases.setOwners(serving.Owners{ByPartition: map[int]string{0: peer.link.Address(), 1: n.link.Address(), 2: peer.link.Address()}})
	return n, peer
}

// keysPeer is the other node of a test: a link whose messages the test reads and writes.
type keysPeer struct {
	link     *peerlink.Link
	received chan peerlink.Message
}

func listenForKeys(t *testing.T) *peerlink.Link {
	packets, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := packets.LocalAddr().String()
	_ = packets.Close()
	link, err := peerlink.Listen(address, "a", event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return link
}

// customersBatch returns a configuration with customers, read from the store.
func customersBatch(version int64) serving.OperatorBatch {
	return serving.OperatorBatch{Configurations: []*serving.Configuration{{Version: version, CustomersDeclared: true}}}
}

// from returns a message of the other node.
func (p *keysPeer) from(message peerlink.Message) peerlink.Message {
	message.From = p.link.Address()
	return message
}

// Guards against a node that sends no challenges, ignores answers, or lets an answer count before it has the reader's
// records or with the time of its arrival.
func TestReadersAnswerRenewsTheProof(t *testing.T) {
	g := gomega.NewWithT(t)
	n, peer := newKeysNode(t, nil)
	n.applyOperator(provenance{source: sourceStore}, customersBatch(2))
	n.keys.applied(serving.Position{Offset: 5})
	g.Expect(n.keys.Status().Accept).To(gomega.BeFalse())
	before := bootTime()
	n.keys.step(time.Now())
	var message peerlink.Message
	g.Eventually(peer.received, keyTestTimeout).Should(gomega.Receive(&message))
	g.Expect(message.KeyChallenge).NotTo(gomega.BeNil())

	answer := peerlink.NewKeyAnswer(*message.KeyChallenge, time.Second, keyproof.Position{Offset: 7, Version: 3})
	n.handleMessage(time.Now(), peer.from(peerlink.Message{KeyAnswer: &answer}))
	g.Expect(n.keys.Status().Accept).To(gomega.BeFalse())
	n.applyPeerSnapshot(peer.link.Address(), peerSnapshot{
		Digest: storewatch.Digest{OperatorNext: 7}, Config: &serving.Configuration{Version: 3, CustomersDeclared: true},
	})
	status := n.keys.Status()
	g.Expect(status.Accept).To(gomega.BeTrue())
	g.Expect(status.Age).To(gomega.BeNumerically(">=", time.Second))
	g.Expect(status.Age).To(gomega.BeNumerically("<=", time.Second+bootTime()-before))
}

// Guards against a digest, a snapshot or a read with further records behind it that renews the proof, and against an own
// read that doesn't.
func TestOnlyReadsAndAnswersRenewTheProof(t *testing.T) {
	g := gomega.NewWithT(t)
	n, peer := newKeysNode(t, nil)
	n.applyOperator(provenance{source: sourceStore}, customersBatch(2))
	n.keys.readOperator(bootTime(), serving.Cursor{Known: true, Offset: 5, More: true})
	g.Expect(n.keys.Status()).To(gomega.Equal(forward.KeyStatus{Age: unknownProofAge}))
	n.watch.recordOperatorRead(time.Now(), serving.OperatorBatch{Next: serving.Cursor{Known: true, Offset: 5}}, true)
	n.handleMessage(time.Now(), peer.from(peerlink.Message{
		Digest:   &storewatch.Digest{OperatorNext: 6},
		Operator: &storewatch.OperatorChanges{From: 5, Versions: []serving.AdapterVersion{{Version: 1}}},
	}))
	n.applyPeerSnapshot(peer.link.Address(), peerSnapshot{Digest: storewatch.Digest{OperatorNext: 7}})
	g.Expect(n.keys.Status()).To(gomega.Equal(forward.KeyStatus{Age: unknownProofAge}))
	n.keys.readOperator(bootTime()-time.Second, serving.Cursor{Known: true, Offset: 7})
	status := n.keys.Status()
	g.Expect(status.Accept).To(gomega.BeTrue())
	g.Expect(status.Age).To(gomega.BeNumerically(">=", time.Second))
}

// Guards against a reader that doesn't answer, understates its age, or names a position that its proof doesn't cover.
func TestReaderAnswersWithTheAgeOfItsProof(t *testing.T) {
	g := gomega.NewWithT(t)
	n, peer := newKeysNode(t, nil)
	n.applyOperator(provenance{source: sourceStore}, customersBatch(2))
	n.keys.readOperator(bootTime()-time.Minute, serving.Cursor{Known: true, Offset: 7})
	n.handleMessage(time.Now(), peer.from(peerlink.Message{KeyChallenge: &peerlink.KeyChallenge{Nonce: 1 << 63}}))
	var message peerlink.Message
	g.Eventually(func() *peerlink.KeyAnswer {
		g.Eventually(peer.received, keyTestTimeout).Should(gomega.Receive(&message))
		return message.KeyAnswer
	}).ShouldNot(gomega.BeNil())
	age, position := message.KeyAnswer.Decode()
	g.Expect(message.KeyAnswer.Nonce).To(gomega.Equal(uint64(1 << 63)))
	g.Expect(age).To(gomega.BeNumerically(">=", time.Minute))
	g.Expect(position).To(gomega.Equal(keyproof.Position{Offset: 7, Version: 2}))
}

// Guards against messages and reads of deployments without customers, or with keys.strict off.
func TestNodesWithoutNeedSendNoChallenges(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Settings)
		config *serving.Configuration
	}{
		"no customers": {nil, &serving.Configuration{Version: 2}},
		"not strict":   {func(s *Settings) { s.Keys.Strict = false }, &serving.Configuration{Version: 2, CustomersDeclared: true}},
	} {
		g := gomega.NewWithT(t)
		n, peer := newKeysNode(t, c.change)
		n.applyOperator(provenance{source: sourceStore}, serving.OperatorBatch{Configurations: []*serving.Configuration{c.config}})
		n.keys.step(time.Now())
		g.Expect(n.keys.readDue()).To(gomega.BeFalse(), name)
		n.link.Send(peerlink.Message{Nodes: 1}, peer.link.Address())
		var first peerlink.Message
		g.Eventually(peer.received, keyTestTimeout).Should(gomega.Receive(&first), name)
		g.Expect(first.Nodes).To(gomega.Equal(1), name)
		g.Expect(n.keys.forwarderKeys() == nil).To(gomega.Equal(c.change != nil), name)
	}
}

// Guards against a node that relies on readers which send digests and answer no challenges.
func TestNodeReadsTheStoreWhenNoReaderAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	n, peer := newKeysNode(t, nil)
	n.applyOperator(provenance{source: sourceStore}, customersBatch(2))
	n.watch.recordOperatorRead(time.Now(), serving.OperatorBatch{Next: serving.Cursor{Known: true, Offset: 5}}, true)
	digest := func() { n.watch.recordDigest(time.Now(), peer.link.Address(), storewatch.Digest{OperatorNext: 5}) }
	digest()
	n.keys.step(time.Now())
	g.Expect(n.watch.operatorIdle(time.Now())).To(gomega.BeTrue())
	g.Eventually(func() bool {
		digest()
		n.keys.step(time.Now())
		return n.watch.operatorIdle(time.Now())
	}, keyTestTimeout, 50*time.Millisecond).Should(gomega.BeFalse())
	n.keys.readOperator(bootTime(), serving.Cursor{Known: true, Offset: 5})
	g.Expect(n.watch.operatorIdle(time.Now())).To(gomega.BeTrue())
}
