package node

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

const (
	// resendInterval is the time between two messages of one admission request; a holder answers within a few
	// milliseconds.
	resendInterval = 40 * time.Millisecond
	// answerTimeout is how long an admission request may stay unanswered before the prompt is sent without admission:
	// the holder is then down or unreachable, and pausing a few streams is better than not answering the caller.
	answerTimeout = 120 * time.Millisecond
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
	ctx context.Context, server string, tokens, priority int, maxWait time.Duration,
) (release func(read bool), ok bool) {
	id, answers := c.pending.register(unreadAdmissionAnswers)
	defer c.pending.unregister(id)
	request := peerlink.AdmissionRequest{ServerID: server, ID: id, Tokens: tokens, Priority: priority}
	release = func(read bool) { c.sendRelease(server, id, read) }
	expired := time.NewTimer(maxWait)
	defer expired.Stop()
	resend := time.NewTimer(resendInterval)
	defer resend.Stop()
	answeredAt, interval, timeout := time.Now(), resendInterval, answerTimeout
	if !c.sendRequest(request) {
		return func(bool) {}, true
	}
	for {
		select {
		case answer := <-answers:
			if answer == admissionGranted {
				return release, true
			}
			answeredAt, interval, timeout = time.Now(), queuedResendInterval, queuedAnswerTimeout
		case <-resend.C:
			if time.Since(answeredAt) >= timeout || !c.sendRequest(request) {
				return release, true
			}
			resend.Reset(interval)
		case <-expired.C:
			release(false)
			return release, false
		case <-ctx.Done():
			release(false)
			return release, false
		}
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

// sendRelease reports that the prompt was read or its request abandoned.
func (c *admissionClient) sendRelease(server string, id uint64, read bool) {
	release := peerlink.AdmissionRelease{ServerID: server, ID: id, Read: read}
	if h := c.node.holders.get(server); h != nil {
		h.handleAdmissionRelease(time.Now(), c.node.link.Address(), release)
		return
	}
	if owner := c.node.holderOf(time.Now(), server); owner != "" && owner != c.node.link.Address() {
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
	})
	h.mu.Unlock()
	if !h.grantAdmissions(now, from, request.ID) {
		h.answerAdmissions(from, admissionQueued, request.ID)
	}
}

func (h *holder) handleAdmissionRelease(now time.Time, from string, release peerlink.AdmissionRelease) {
	h.mu.Lock()
	h.gate.Done(now, from, release.ID, release.Read)
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
