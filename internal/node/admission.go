package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

const (
	// resendInterval is the time between two messages of one admission request; a holder answers within a few
	// milliseconds.
	resendInterval = 40 * time.Millisecond
	// answerTimeout is how long an admission request may stay unanswered before the prompt is sent without admission:
	// the holder is then down or unreachable, and pausing a few streams is better than not answering the caller.
	answerTimeout = 120 * time.Millisecond
	// brittleAnswerTimeout is answerTimeout for a prompt to a brittle server, which gets next to nothing without its holder.
	brittleAnswerTimeout = 250 * time.Millisecond
	// queuedResendInterval is resendInterval for an admission request that the holder has queued.
	queuedResendInterval = 200 * time.Millisecond
	// queuedAnswerTimeout is answerTimeout for an admission request that the holder has queued.
	queuedAnswerTimeout = 500 * time.Millisecond
)

type admissionAnswer uint8

const (
	admissionQueued admissionAnswer = iota
	admissionGranted
)

// unreadAdmissionAnswers bounds the answers to one request that wait to be read; holders repeat them.
const unreadAdmissionAnswers = 4

// admissionClient requests admission of prompts from the lease holders of model servers. It implements forward.Gate.
type admissionClient struct {
	node    *Node
	pending *pending[admissionAnswer]
}

func newAdmissionClient(node *Node) *admissionClient {
	return &admissionClient{node: node, pending: newPending[admissionAnswer]()}
}

// deliver passes a holder's answer to the requests that wait for it.
func (c *admissionClient) deliver(ids []uint64, answer admissionAnswer) {
	for _, id := range ids {
		c.pending.deliver(id, answer)
	}
}

// Await implements forward.Gate.
func (c *admissionClient) Await(
	ctx context.Context, prompt forward.Prompt, maxWait time.Duration,
) (admission forward.Admission, ok bool) {
	id, answers := c.pending.register(unreadAdmissionAnswers)
	defer c.pending.unregister(id)
	request := peerlink.AdmissionRequest{
		ServerID: prompt.Server.ID, ID: id, Tokens: prompt.Tokens, Priority: prompt.Priority,
	}
	if prompt.Server.Brittle {
		request.LifetimeMs = max(prompt.Lifetime, time.Millisecond).Milliseconds()
	}
	admitted := &admittedPrompt{client: c, request: request}
	unanswered := answerTimeout
	if prompt.Server.Brittle {
		unanswered = brittleAnswerTimeout
	}
	expired := time.NewTimer(maxWait)
	defer expired.Stop()
	resend := time.NewTimer(resendInterval)
	defer resend.Stop()
	answeredAt, interval, timeout := time.Now(), resendInterval, unanswered
	if !c.sendRequest(request) {
		return admitted.withoutHolder(prompt.Server)
	}
	for {
		select {
		case answer := <-answers:
			if answer == admissionGranted {
				return forward.Admission{Release: admitted.release, ByHolder: true}, true
			}
			answeredAt, interval, timeout = time.Now(), queuedResendInterval, queuedAnswerTimeout
		case <-resend.C:
			if time.Since(answeredAt) >= timeout || !c.sendRequest(request) {
				return admitted.withoutHolder(prompt.Server)
			}
			resend.Reset(interval)
		case <-expired.C:
			admitted.release(false)
			return forward.Admission{}, false
		case <-ctx.Done():
			admitted.release(false)
			return forward.Admission{}, false
		}
	}
}

// admittedPrompt is a prompt for which admission was requested.
type admittedPrompt struct {
	client  *admissionClient
	request peerlink.AdmissionRequest

	mu          sync.Mutex
	read, ended bool
	// finish is called at the end of the request if no holder has admitted it; may be nil.
	finish func(accepted bool)
}

// withoutHolder admits the prompt without the holder of its server: a brittle server only gets it within this node's share.
func (p *admittedPrompt) withoutHolder(server serverview.Candidate) (forward.Admission, bool) {
	finish, ok := p.client.node.tolerances.beginAlone(time.Now(), server)
	if !ok {
		p.release(false)
		return forward.Admission{}, false
	}
	p.finish = finish
	return forward.Admission{Release: p.release}, true
}

// release implements forward.Admission.Release. The holder is told when the prompt was read, and of the end of a request whose
// prompt wasn't read or that it counts until then.
func (p *admittedPrompt) release(read bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.read && read {
		return
	}
	told := peerlink.AdmissionRelease{ServerID: p.request.ServerID, ID: p.request.ID, Read: read}
	if read {
		p.read = true
		p.client.sendRelease(told)
		return
	}
	p.ended, told.Ended = true, p.read
	if !p.read || p.request.LifetimeMs > 0 {
		p.client.sendRelease(told)
	}
	if p.finish != nil {
		p.finish(p.read)
	}
}

// sendRequest sends an admission request to the server's holder. It returns false when no holder is known.
func (c *admissionClient) sendRequest(request peerlink.AdmissionRequest) bool {
	if h := c.node.holders.get(request.ServerID); h != nil {
		h.handleAdmissionRequest(time.Now(), c.node.link.Address(), request)
		return true
	}
	owner := c.node.holderOf(time.Now(), request.ServerID)
	if owner == "" || owner == c.node.link.Address() {
		return false
	}
	c.node.link.Send(peerlink.Message{AdmissionRequest: &request}, owner)
	return true
}

// sendRelease reports that the prompt was read or its request abandoned, or that a request has ended.
func (c *admissionClient) sendRelease(release peerlink.AdmissionRelease) {
	if h := c.node.holders.get(release.ServerID); h != nil {
		h.handleAdmissionRelease(time.Now(), c.node.link.Address(), release)
		return
	}
	if owner := c.node.holderOf(time.Now(), release.ServerID); owner != "" && owner != c.node.link.Address() {
		c.node.link.Send(peerlink.Message{AdmissionRelease: &release}, owner)
	}
}

// handleAdmissionRequest enqueues a node's admission request and answers whether it's granted or queued.
func (h *holder) handleAdmissionRequest(now time.Time, from string, request peerlink.AdmissionRequest) {
	h.mu.Lock()
	if h.gate.Granted(from, request.ID) {
		h.mu.Unlock()
		h.answerAdmissions(from, admissionGranted, request.ID)
		return
	}
	h.gate.Enqueue(prefillgate.Request{
		Node: from, ID: request.ID, Tokens: request.Tokens, Priority: request.Priority, At: now,
		Lifetime: time.Duration(request.LifetimeMs) * time.Millisecond,
	})
	h.mu.Unlock()
	if !h.grantAdmissions(now, from, request.ID) {
		h.answerAdmissions(from, admissionQueued, request.ID)
	}
}

func (h *holder) handleAdmissionRelease(now time.Time, from string, release peerlink.AdmissionRelease) {
	h.mu.Lock()
	if release.Ended {
		h.gate.Ended(now, from, release.ID)
	} else {
		h.gate.Done(now, from, release.ID, release.Read)
	}
	h.mu.Unlock()
	h.grantAdmissions(now, "", 0)
}

// grantAdmissions grants the requests that the gate admits now, and reports whether the given one is among them.
func (h *holder) grantAdmissions(now time.Time, node string, id uint64) (found bool) {
	eventTime, known := h.node.eventGaps.Typical(h.server.Service)
	h.mu.Lock()
	if cost := h.steps.Cost(now); cost.Known() {
		// What is learned of this server, known on large sites only, is nearer than what is typical for its service.
		eventTime, known = cost.Gap(h.core.Running()), true
	}
	if known {
		h.gate.SetEventTime(eventTime)
	}
	h.gate.SetRoom(h.room(now))
	granted, nextAt := h.gate.Next(now)
	if !nextAt.IsZero() {
		h.scheduleGrants(nextAt.Sub(now))
	}
	h.mu.Unlock()
	for _, request := range granted {
		found = found || request.Node == node && request.ID == id
		h.answerAdmissions(request.Node, admissionGranted, request.ID)
	}
	return found
}

// room returns the bound on the requests at the server while it's brittle, else nil.
func (h *holder) room(now time.Time) *prefillgate.Room {
	requests, closedUntil, brittle := h.node.view.BrittleRoom(now, h.server.ID)
	if !brittle {
		return nil
	}
	return &prefillgate.Room{Requests: requests, ClosedUntil: closedUntil}
}

func (h *holder) scheduleGrants(after time.Duration) {
	if h.grantTimer == nil {
		h.grantTimer = time.AfterFunc(after, func() { h.grantAdmissions(time.Now(), "", 0) })
		return
	}
	h.grantTimer.Reset(after)
}

func (h *holder) answerAdmissions(to string, answer admissionAnswer, ids ...uint64) {
	if to == h.node.link.Address() {
		h.node.admission.deliver(ids, answer)
		return
	}
	if answer == admissionGranted {
		h.node.link.Send(peerlink.Message{Granted: ids}, to)
		return
	}
	h.node.link.Send(peerlink.Message{Queued: ids}, to)
}
