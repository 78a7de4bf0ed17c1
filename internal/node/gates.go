package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

const (
	// askRepeat is the time between two messages of one ask; a holder answers within a few milliseconds.
	askRepeat = 40 * time.Millisecond
	// askSilence is after how long without an answer of the holder a request goes without its leave: the holder is
	// gone or out of reach, and a pause of some streams is better than no answer.
	askSilence = 120 * time.Millisecond
	// queuedRepeat is the time between two messages of an ask that the holder has queued.
	queuedRepeat = 200 * time.Millisecond
	// queuedSilence is askSilence for an ask that the holder has queued.
	queuedSilence = 500 * time.Millisecond
)

type gateAnswer uint8

const (
	gateQueued gateAnswer = iota
	gateGranted
)

// gates ask the holders of model servers to admit prompts. It implements forward.Gate.
type gates struct {
	node    *Node
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan gateAnswer
}

func newGates(node *Node) *gates {
	// IDs of a new process must differ from those of the one before.
	return &gates{node: node, lastID: uint64(time.Now().UnixMicro()) << 8, waiting: make(map[uint64]chan gateAnswer)}
}

func (g *gates) register() (id uint64, answers chan gateAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	answers = make(chan gateAnswer, 4)
	g.waiting[g.lastID] = answers
	return g.lastID, answers
}

func (g *gates) unregister(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
}

// answered hands the answer of a holder to the request that waits for it.
func (g *gates) answered(ids []uint64, answer gateAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		select {
		case g.waiting[id] <- answer:
		default:
		}
	}
}

// Await implements forward.Gate.
func (g *gates) Await(ctx context.Context, server string, tokens, priority int, patience time.Duration) (read func(), ok bool) {
	id, answers := g.register()
	defer g.unregister(id)
	ask := peerlink.PromptAsk{ServerID: server, ID: id, Tokens: tokens, Priority: priority}
	read = func() { g.sendRead(server, id) }
	giveUp := time.NewTimer(patience)
	defer giveUp.Stop()
	repeat := time.NewTimer(askRepeat)
	defer repeat.Stop()
	heardAt, period, silence := time.Now(), askRepeat, askSilence
	if !g.sendAsk(ask) {
		return func() {}, true
	}
	for {
		select {
		case answer := <-answers:
			if answer == gateGranted {
				return read, true
			}
			heardAt, period, silence = time.Now(), queuedRepeat, queuedSilence
		case <-repeat.C:
			if time.Since(heardAt) >= silence || !g.sendAsk(ask) {
				return read, true
			}
			repeat.Reset(period)
		case <-giveUp.C:
			read()
			return read, false
		case <-ctx.Done():
			read()
			return read, false
		}
	}
}

// sendAsk returns false when the server has no known holder.
func (g *gates) sendAsk(ask peerlink.PromptAsk) bool {
	if held := g.node.holders.of(ask.ServerID); held != nil {
		held.takeAsk(time.Now(), g.node.link.Address(), ask)
		return true
	}
	owner := g.node.holderOf(time.Now(), ask.ServerID)
	if owner == "" || owner == g.node.link.Address() {
		return false
	}
	g.node.link.Send(peerlink.Message{Ask: &ask}, owner)
	return true
}

func (g *gates) sendRead(server string, id uint64) {
	message := peerlink.PromptRead{ServerID: server, ID: id}
	if held := g.node.holders.of(server); held != nil {
		held.takeRead(time.Now(), g.node.link.Address(), message)
		return
	}
	if owner := g.node.holderOf(time.Now(), server); owner != "" && owner != g.node.link.Address() {
		g.node.link.Send(peerlink.Message{Read: &message}, owner)
	}
}

// takeAsk enqueues the ask of a gateway and answers it.
func (h *holder) takeAsk(now time.Time, from string, ask peerlink.PromptAsk) {
	h.mu.Lock()
	if h.gate.Granted(from, ask.ID) {
		h.mu.Unlock()
		h.answerAsks(from, gateGranted, ask.ID)
		return
	}
	h.gate.Enqueue(prefillgate.Ask{Node: from, ID: ask.ID, Tokens: ask.Tokens, Priority: ask.Priority, At: now})
	h.mu.Unlock()
	if !h.openGate(now, from, ask.ID) {
		h.answerAsks(from, gateQueued, ask.ID)
	}
}

func (h *holder) takeRead(now time.Time, from string, read peerlink.PromptRead) {
	h.mu.Lock()
	h.gate.Done(from, read.ID)
	h.mu.Unlock()
	h.openGate(now, "", 0)
}

// openGate grants what may go now, and reports whether the given ask was among it.
func (h *holder) openGate(now time.Time, node string, id uint64) (found bool) {
	h.mu.Lock()
	granted, again := h.gate.Next(now)
	if !again.IsZero() {
		h.scheduleGate(again.Sub(now))
	}
	h.mu.Unlock()
	for _, ask := range granted {
		found = found || ask.Node == node && ask.ID == id
		h.answerAsks(ask.Node, gateGranted, ask.ID)
	}
	return found
}

func (h *holder) scheduleGate(after time.Duration) {
	if h.gateTimer == nil {
		h.gateTimer = time.AfterFunc(after, func() { h.openGate(time.Now(), "", 0) })
		return
	}
	h.gateTimer.Reset(after)
}

func (h *holder) answerAsks(to string, answer gateAnswer, ids ...uint64) {
	if to == h.node.link.Address() {
		h.node.gates.answered(ids, answer)
		return
	}
	if answer == gateGranted {
		h.node.link.Send(peerlink.Message{Granted: ids}, to)
		return
	}
	h.node.link.Send(peerlink.Message{Queued: ids}, to)
}
